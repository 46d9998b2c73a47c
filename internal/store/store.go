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

// Name is the name of the service in the kernel.
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

// Options configures a Store. Without an address, all requests to that platform service fail with ErrUnavailable.
type Options struct {
	// Table and Objects are the host and port of the table service and the object store.
	Table   string
	Objects string
	// Timeout bounds one request, zero for a default of 1 s.
	Timeout time.Duration
}

// Store is the client of the table service and the object store. Its requests are safe for concurrent use.
type Store struct {
	table, objects *endpoint
	done           chan error
}

// New returns a client of the platform. It opens connections on demand; Stop closes them.
func New(options Options) *Store {
	if options.Timeout <= 0 {
		options.Timeout = defaultTimeout
	}
	s := &Store{done: make(chan error, 1)}
	if options.Table != "" {
		s.table = newEndpoint(options.Table, options.Timeout)
	}
	if options.Objects != "" {
		s.objects = newEndpoint(options.Objects, options.Timeout)
	}

	return s
}

// String returns the name of the service.
func (s *Store) String() string {
	return Name
}

// Start implements kernel.Service.
func (s *Store) Start(context.Context, *kernel.Kernel) (<-chan error, error) {
	return s.done, nil
}

// Stop closes the connections.
func (s *Store) Stop(context.Context) error {
	for _, e := range []*endpoint{s.table, s.objects} {
		if e != nil {
			e.close()
		}
	}
	s.done <- nil

	return nil
}

// UnavailableSince returns the time from which requests to the table service have failed, the zero time while it is available.
func (s *Store) UnavailableSince() time.Time {
	if s.table == nil {
		return time.Time{}
	}

	return s.table.circuit.openSince()
}

// Configured reports whether the settings contain the address of a table service.
func (s *Store) Configured() bool {
	return s.table != nil
}

// Get returns the row. The error is ErrNotFound, ErrUnavailable or ErrBadResponse.
func (s *Store) Get(ctx context.Context, key string) (Row, error) {
	row, _, err := s.GetChanged(ctx, key, "")

	return row, err
}

// GetChanged returns the row if its ETag differs from the given one. Otherwise changed is false. Its errors are those of Get.
func (s *Store) GetChanged(ctx context.Context, key, etag string) (row Row, changed bool, err error) {
	got, err := send(ctx, s.table, request{method: consts.MethodGet, path: pathTable + escape(key), ifNoneMatch: etag})
	if err != nil {
		return Row{}, false, err
	}

	return Row{Key: key, ETag: got.etag, Value: got.body}, got.status != consts.StatusNotModified, nil
}

// Put writes the row if its ETag is the given one, unconditionally if that is empty, and returns the new ETag. The error is
// ErrConflict, ErrUnavailable, ErrUnknownEffect or ErrBadResponse.
func (s *Store) Put(ctx context.Context, key string, value []byte, etag string) (string, error) {
	got, err := send(ctx, s.table, request{method: consts.MethodPut, path: pathTable + escape(key), body: value, ifMatch: etag})

	return got.etag, err
}

// Insert writes the row if it does not exist, and returns its ETag. Its errors are those of Put.
func (s *Store) Insert(ctx context.Context, key string, value []byte) (string, error) {
	got, err := send(ctx, s.table, request{method: consts.MethodPut, path: pathTable + escape(key), body: value, ifNoneMatch: anyETag})

	return got.etag, err
}

// Delete removes the row if its ETag is the given one, unconditionally if that is empty.
func (s *Store) Delete(ctx context.Context, key, etag string) error {
	_, err := send(ctx, s.table, request{method: consts.MethodDelete, path: pathTable + escape(key), ifMatch: etag})

	return err
}

// Era returns a channel that is never closed: this table service loses no row that it has acknowledged.
func (*Store) Era() (number uint64, changed <-chan struct{}) {
	return 0, nil
}

// List returns up to 1000 rows whose keys have the prefix and are greater than after, sorted by key.
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

// GetObject returns the content of the object. The error is ErrNotFound, ErrUnavailable or ErrBadResponse.
func (s *Store) GetObject(ctx context.Context, key string) ([]byte, error) {
	got, err := send(ctx, s.objects, request{method: consts.MethodGet, path: pathObjects + escape(key)})

	return got.body, err
}

// PutObject writes the object, and replaces an existing one. The error is ErrUnavailable, ErrUnknownEffect or ErrBadResponse.
func (s *Store) PutObject(ctx context.Context, key string, value []byte) error {
	_, err := send(ctx, s.objects, request{method: consts.MethodPut, path: pathObjects + escape(key), body: value})

	return err
}

// send sends the request to the endpoint, nil if its address is not configured.
func send(ctx context.Context, e *endpoint, r request) (response, error) {
	if e == nil {
		return response{}, errors.Wrapf(ErrUnavailable, "%s %s: no platform in the settings", r.method, r.path)
	}

	return e.do(ctx, r)
}

// escape escapes each segment of a key for use in a URL path.
func escape(key string) string {
	segments := strings.Split(key, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}

	return strings.Join(segments, "/")
}
