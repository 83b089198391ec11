package nutmegstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Request is one HTTP request to the platform, relative to its base URL.
type Request struct {
	Method string
	Path   string // escaped path and query
	Header http.Header
	Body   []byte
}

// Response is the platform's complete response to one request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// ListRequest asks for one page of a list.
type ListRequest struct {
	Kind   string
	Prefix string // prefix of the object names
	After  string // start of the page; empty for the first page
	Stale  bool   // allows a result that is seconds old
}

// Page is one page of a list.
type Page struct {
	Objects      []Object
	Next         string           // start of the next page; empty on the last page
	StoreVersion nutmegid.Version // version of the store when the list was read; 0 if not reported
}

// Changes are the changes of a kind since a version.
type Changes struct {
	Objects      []Object
	StoreVersion nutmegid.Version // version of the store from which the next poll continues
	Relayed      bool             // another instance has read the changes and passed them on
}

// Dialect encodes requests for one variant of the platform's object API and
// decodes its responses. It is stateless.
type Dialect interface {
	Get(key Key) Request
	Create(key Key, value []byte) Request
	Replace(key Key, value []byte, version nutmegid.Version) Request
	Delete(key Key, version nutmegid.Version) Request
	// List requests one page of the objects of a kind.
	List(request ListRequest) Request
	// ReadObject decodes the response to a successful Get, Create or Replace.
	// The response to a write may lack the value.
	ReadObject(key Key, resp Response) (Object, error)
	// ReadConflict returns the current object from the response to a write that
	// failed with a version conflict, or false if the response does not contain it.
	ReadConflict(key Key, resp Response) (Object, bool)
	// ReadPage decodes the response to a successful List.
	ReadPage(kind string, resp Response) (Page, error)
	// ReadEra returns the era that a response states, or 0 if it states none.
	ReadEra(resp Response) (nutmegid.Era, error)
}

// Poller is a Dialect that watches by long polling: a request returns with the
// first changes.
type Poller interface {
	Dialect
	Poll(kind string, since nutmegid.Version, wait time.Duration) Request
	ReadChanges(kind string, resp Response) (Changes, error)
}

// Streamer is a Dialect that watches through an endless response of JSON lines.
type Streamer interface {
	Dialect
	Watch(kind, prefix string) Request
}

var errNoVersion = errors.New("response has no valid version in its ETag header")

// HeaderDialect is the project's own variant of the object API: values are raw
// bodies, and versions are sent in the ETag and If-Match headers.
type HeaderDialect struct{}

// Get implements Dialect.
func (HeaderDialect) Get(key Key) Request {
	return Request{Method: http.MethodGet, Path: objectPath(key)}
}

// Create implements Dialect.
func (HeaderDialect) Create(key Key, value []byte) Request {
	return Request{Method: http.MethodPut, Path: objectPath(key), Header: http.Header{"If-None-Match": {"*"}}, Body: value}
}

// Replace implements Dialect.
func (HeaderDialect) Replace(key Key, value []byte, version nutmegid.Version) Request {
	return Request{Method: http.MethodPut, Path: objectPath(key), Header: ifMatch(version), Body: value}
}

// Delete implements Dialect.
func (HeaderDialect) Delete(key Key, version nutmegid.Version) Request {
	return Request{Method: http.MethodDelete, Path: objectPath(key), Header: ifMatch(version)}
}

// List implements Dialect. The response holds all objects in one page.
func (HeaderDialect) List(request ListRequest) Request {
	return Request{Method: http.MethodGet, Path: kindPath(request.Kind) + "?" + url.Values{"prefix": {request.Prefix}}.Encode()}
}

// Watch implements Streamer.
func (HeaderDialect) Watch(kind, prefix string) Request {
	query := url.Values{"prefix": {prefix}, "watch": {"1"}}
	return Request{Method: http.MethodGet, Path: kindPath(kind) + "?" + query.Encode()}
}

// ReadObject implements Dialect.
func (HeaderDialect) ReadObject(key Key, resp Response) (Object, error) {
	text := strings.Trim(resp.Header.Get("ETag"), `"`)
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return Object{}, errNoVersion
	}
	return Object{Key: key, Version: nutmegid.Version(version), Value: resp.Body}, nil
}

// ReadConflict implements Dialect. The response never contains the object.
func (HeaderDialect) ReadConflict(Key, Response) (Object, bool) {
	return Object{}, false
}

// ReadPage implements Dialect.
func (HeaderDialect) ReadPage(kind string, resp Response) (Page, error) {
	var items []listItem
	if err := json.Unmarshal(resp.Body, &items); err != nil {
		return Page{}, fmt.Errorf("list of objects is not valid JSON: %w", err)
	}
	objects := make([]Object, 0, len(items))
	for _, item := range items {
		objects = append(objects, item.object(kind))
	}
	return Page{Objects: objects}, nil
}

// ReadEra implements Dialect. This API states no eras.
func (HeaderDialect) ReadEra(Response) (nutmegid.Era, error) {
	return 0, nil
}

// listItem is one object in a list or watch response.
type listItem struct {
	Type    string           `json:"type,omitempty"`
	Name    string           `json:"name"`
	Version nutmegid.Version `json:"version"`
	Value   []byte           `json:"value"`
}

func (i listItem) object(kind string) Object {
	return Object{Key: Key{Kind: kind, Name: i.Name}, Version: i.Version, Value: i.Value}
}

func kindPath(kind string) string {
	return "/v1/objects/" + url.PathEscape(kind)
}

func objectPath(key Key) string {
	return kindPath(key.Kind) + "/" + url.PathEscape(key.Name)
}

func ifMatch(version nutmegid.Version) http.Header {
	return http.Header{"If-Match": {`"` + strconv.FormatUint(uint64(version), 10) + `"`}}
}
