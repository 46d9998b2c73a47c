package store

import (
	"context"
	"encoding/json"
	"net/url"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
)

// Name is the name under which the kernel knows the service.
const Name = "store"

const (
	defaultTimeout = time.Second
	pathTable      = "/table/"
	pathObjects    = "/objects/"
	anyETag        = "*"
)

// Row is one row of the table service.
type Row struct {
	Key   string `json:"key"`
	ETag  string `json:"etag"`
	Value []byte `json:"value"`
}

// Options say where the platform is; an empty address means that it is always away.
type Options struct {
	Table   string
	Objects string
	// Timeout bounds one request.
	Timeout time.Duration
}

// Store is the service `store`.
type Store struct {
	table, objects *endpoint
	done           chan error
}

// New returns a client of the platform; it opens connections when they are first needed.
func New(options Options) (*Store, error) {
	if options.Timeout <= 0 {
		options.Timeout = defaultTimeout
	}
	s := &Store{done: make(chan error, 1)}
	var err error
	if options.Table != "" {
		if s.table, err = newEndpoint(options.Table, options.Timeout); err != nil {
			return nil, err
		}
	}
	if options.Objects != "" {
		if s.objects, err = newEndpoint(options.Objects, options.Timeout); err != nil {
			return nil, err
		}
	}

	return s, nil
}

// String returns the name of the service.
func (s *Store) String() string {
	return Name
}

// Start is part of kernel.Service.
func (s *Store) Start(context.Context, *kernel.Kernel) (<-chan error, error) {
	return s.done, nil
}

// Stop closes idle connections.
func (s *Store) Stop(context.Context) error {
	for _, e := range []*endpoint{s.table, s.objects} {
		if e != nil {
			e.client.CloseIdleConnections()
		}
	}
	s.done <- nil

	return nil
}

// UnavailableSince returns when the table service was lost, the zero time while it answers.
func (s *Store) UnavailableSince() time.Time {
	if s.table == nil {
		return time.Time{}
	}

	return s.table.circuit.since()
}

// Configured reports whether the settings name a table service.
func (s *Store) Configured() bool {
	return s.table != nil
}

// Get returns the row, ErrNotFound or ErrUnavailable.
func (s *Store) Get(ctx context.Context, key string) (Row, error) {
	row, _, err := s.GetChanged(ctx, key, "")

	return row, err
}

// GetChanged returns the row unless it still has the ETag, in which case changed is false.
func (s *Store) GetChanged(ctx context.Context, key, etag string) (row Row, changed bool, err error) {
	got, err := send(ctx, s.table, request{method: consts.MethodGet, path: pathTable + escape(key), ifNoneMatch: etag})
	if err != nil {
		return Row{}, false, err
	}

	return Row{Key: key, ETag: got.etag, Value: got.body}, got.status != consts.StatusNotModified, nil
}

// Put writes the row if it has the ETag, any row if that is empty, and returns the new ETag; the error is ErrConflict, ErrUnavailable
// or ErrUnknownEffect.
func (s *Store) Put(ctx context.Context, key string, value []byte, etag string) (string, error) {
	got, err := send(ctx, s.table, request{method: consts.MethodPut, path: pathTable + escape(key), body: value, ifMatch: etag})

	return got.etag, err
}

// Insert writes the row if there is none, and returns its ETag; the error is ErrConflict, ErrUnavailable or ErrUnknownEffect.
func (s *Store) Insert(ctx context.Context, key string, value []byte) (string, error) {
	got, err := send(ctx, s.table, request{method: consts.MethodPut, path: pathTable + escape(key), body: value, ifNoneMatch: anyETag})

	return got.etag, err
}

// Delete removes the row if it has the ETag, any row if that is empty.
func (s *Store) Delete(ctx context.Context, key, etag string) error {
	_, err := send(ctx, s.table, request{method: consts.MethodDelete, path: pathTable + escape(key), ifMatch: etag})

	return err
}

// List returns up to a thousand rows whose keys begin with the prefix and lie behind a key, in the order of their keys.
func (s *Store) List(ctx context.Context, prefix, after string) ([]Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}}
	got, err := send(ctx, s.table, request{method: consts.MethodGet, path: "/table?" + query.Encode()})
	if err != nil {
		return nil, err
	}
	var listing struct {
		Rows []Row `json:"rows"`
	}
	if err := json.Unmarshal(got.body, &listing); err != nil {
		return nil, errors.Wrapf(ErrBadResponse, "list %q: %v", prefix, err)
	}

	return listing.Rows, nil
}

// GetObject returns the object, ErrNotFound or ErrUnavailable.
func (s *Store) GetObject(ctx context.Context, key string) ([]byte, error) {
	got, err := send(ctx, s.objects, request{method: consts.MethodGet, path: pathObjects + escape(key)})

	return got.body, err
}

// PutObject writes the object whole; the error is ErrUnavailable or ErrUnknownEffect.
func (s *Store) PutObject(ctx context.Context, key string, value []byte) error {
	_, err := send(ctx, s.objects, request{method: consts.MethodPut, path: pathObjects + escape(key), body: value})

	return err
}

func send(ctx context.Context, e *endpoint, r request) (answer, error) {
	if e == nil {
		return answer{}, errors.Wrapf(ErrUnavailable, "%s %s: no platform in the settings", r.method, r.path)
	}

	return e.do(ctx, r)
}

// escape escapes each segment of a key.
func escape(key string) string {
	segments := strings.Split(key, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}

	return strings.Join(segments, "/")
}
