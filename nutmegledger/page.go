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

// Page is the body of one page object: the lines of many segments, compressed.
type Page struct {
	Lines    int    `json:"lines"`
	Segments int    `json:"segments"` // that the lines come from
	Gzip     []byte `json:"gzip"`     // JSON array of lines, compressed with gzip
}

// NewPage compresses lines.
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

// Unpack returns the page's lines.
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
		return nil, fmt.Errorf("page holds %d lines and states %d", len(lines), p.Lines)
	}
	return lines, nil
}

// Objects is the part of the object API that compaction needs besides a writer.
type Objects interface {
	Lister
	Delete(ctx context.Context, key nutmegstore.Key, version nutmegid.Version) error
}

// Compact moves the lines of segments into pages and deletes the segments,
// when at least minSegments stand in the store. It returns how many segments
// were moved. A segment is deleted only after its page is confirmed; whatever
// fails in between leaves lines twice, which the fold counts once.
func Compact(ctx context.Context, w *nutmegstore.Writer, objects Objects, minSegments int) (int, error) {
	all, err := objects.List(ctx, SegmentKind, "")
	if err != nil {
		return 0, fmt.Errorf("ledger could not be listed; compaction is tried again later: %w", err)
	}
	if len(all) < minSegments {
		return 0, nil
	}
	moved := 0
	for _, batch := range batches(all) {
		if err := movePage(ctx, w, objects, batch); err != nil {
			return moved, err
		}
		moved += len(batch.segments)
	}
	return moved, nil
}

// pageBatch is the segments that make one page.
type pageBatch struct {
	segments []nutmegstore.Object
	lines    []Line
}

// batches groups segments into pages. Unreadable segments stay where they are.
func batches(objects []nutmegstore.Object) []pageBatch {
	var made []pageBatch
	var current pageBatch
	for _, object := range objects {
		doc, err := nutmegstore.Decode[Segment](object)
		if err != nil {
			continue
		}
		if len(current.lines)+len(doc.Body.Lines) > maxPageLines && len(current.segments) > 0 {
			made = append(made, current)
			current = pageBatch{}
		}
		current.segments = append(current.segments, object)
		current.lines = append(current.lines, doc.Body.Lines...)
	}
	if len(current.segments) > 0 {
		made = append(made, current)
	}
	return made
}

func movePage(ctx context.Context, w *nutmegstore.Writer, objects Objects, batch pageBatch) error {
	page, err := NewPage(batch.lines, len(batch.segments))
	if err != nil {
		return err
	}
	key := nutmegstore.Key{Kind: PageKind, Name: uuid.NewString()}
	if err := nutmegstore.Create(ctx, w, key, page); err != nil {
		return err
	}
	var failed error
	for _, segment := range batch.segments {
		err := objects.Delete(ctx, segment.Key, segment.Version)
		if err != nil && !nutmegstore.IsKind(err, nutmegstore.KindNotFound) {
			failed = errors.Join(failed, err)
		}
	}
	return failed
}

// pageLines reads the lines of all pages.
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
