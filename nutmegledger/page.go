package nutmegledger

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// Page is the body of a page object: the compressed lines of several segments.
type Page struct {
	Lines    int    `json:"lines"`
	Segments int    `json:"segments"` // number of segments that the lines come from
	Gzip     []byte `json:"gzip"`     // JSON array of lines, compressed with gzip
}

// NewPage returns a page with the compressed lines of the given number of segments.
func NewPage(lines []Line, segments int) (Page, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if err := json.NewEncoder(w).Encode(lines); err != nil {
		return Page{}, err
	}
	if err := w.Close(); err != nil {
		return Page{}, err
	}
	return Page{Lines: len(lines), Segments: segments, Gzip: out.Bytes()}, nil
}

// Unpack decompresses the page and returns its lines.
func (p Page) Unpack() ([]Line, error) {
	r, err := gzip.NewReader(bytes.NewReader(p.Gzip))
	if err != nil {
		return nil, err
	}
	var lines []Line
	if err := json.NewDecoder(r).Decode(&lines); err != nil {
		return nil, err
	}
	if len(lines) != p.Lines {
		return nil, fmt.Errorf("page contains %d lines, but its lines field says %d", len(lines), p.Lines)
	}
	return lines, nil
}

// ObjectStore is the part of the object API that Compact needs in addition to a
// writer.
type ObjectStore interface {
	Lister
	Delete(ctx context.Context, key nutmegstore.Key, version nutmegid.Version) error
}

// Compact moves the lines of all segments into pages and deletes the segments,
// if the store has at least minSegments of them. It returns the number of
// compacted segments. A segment is deleted only after the write of its page is
// confirmed; a failure in between leaves duplicate lines, which Fold counts once.
func Compact(ctx context.Context, w *nutmegstore.Writer, objects ObjectStore, minSegments int) (int, error) {
	all, err := objects.List(ctx, SegmentKind, "")
	if err != nil {
		return 0, fmt.Errorf("ledger segments could not be listed; compaction is retried later: %w", err)
	}
	if len(all) < minSegments {
		return 0, nil
	}
	compacted := 0
	for _, batch := range pageBatches(all) {
		if err := compactBatch(ctx, w, objects, batch); err != nil {
			return compacted, err
		}
		compacted += len(batch.segments)
	}
	return compacted, nil
}

// pageBatch is a group of segments that form one page.
type pageBatch struct {
	segments []nutmegstore.Object
	lines    []Line
}

// pageBatches groups segments into pages. It skips unreadable segments, which
// stay in the store.
func pageBatches(objects []nutmegstore.Object) []pageBatch {
	var complete []pageBatch
	var current pageBatch
	for _, object := range objects {
		doc, err := nutmegstore.Decode[Segment](object)
		if err != nil {
			continue
		}
		if len(current.lines)+len(doc.Body.Lines) > maxPageLines && len(current.segments) > 0 {
			complete = append(complete, current)
			current = pageBatch{}
		}
		current.segments = append(current.segments, object)
		current.lines = append(current.lines, doc.Body.Lines...)
	}
	if len(current.segments) > 0 {
		complete = append(complete, current)
	}
	return complete
}

func compactBatch(ctx context.Context, w *nutmegstore.Writer, objects ObjectStore, batch pageBatch) error {
	page, err := NewPage(batch.lines, len(batch.segments))
	if err != nil {
		return err
	}
	key := nutmegstore.Key{Kind: PageKind, Name: uuid.NewString()}
	if err := nutmegstore.Create(ctx, w, key, page); err != nil {
		return err
	}
	var errs error
	for _, segment := range batch.segments {
		err := objects.Delete(ctx, segment.Key, segment.Version)
		if err != nil && !nutmegstore.IsKind(err, nutmegstore.KindNotFound) {
			errs = errors.Join(errs, err)
		}
	}
	return errs
}

// pageLines returns the lines of all pages.
func pageLines(ctx context.Context, l Lister) ([]Line, error) {
	objects, err := l.List(ctx, PageKind, "")
	if err != nil {
		return nil, fmt.Errorf("ledger pages could not be listed; try again once the platform answers: %w", err)
	}
	var lines []Line
	for _, object := range objects {
		doc, err := nutmegstore.Decode[Page](object)
		if err != nil {
			return nil, err
		}
		unpacked, err := doc.Body.Unpack()
		if err != nil {
			return nil, fmt.Errorf("ledger page %q is damaged; have an operator inspect it: %w", object.Key, err)
		}
		lines = append(lines, unpacked...)
	}
	return lines, nil
}
