package store_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/plat"
	"github.com/pistachiotack/pistachiotack/internal/store"
)

func startStore(t *testing.T, timeout time.Duration) (*plat.Platform, *store.Store) {
	t.Helper()
	platform, cleanup, err := plat.New(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(cleanup)
	s := store.New(store.Options{Table: platform.Address(), Objects: platform.Address(), Timeout: timeout})
	t.Cleanup(func() { require.NoError(t, s.Stop(context.Background())) })

	return platform, s
}

func TestConditionalWrites(t *testing.T) {
	_, s := startStore(t, time.Second)
	ctx := t.Context()
	_, err := s.Get(ctx, "a/b")
	require.ErrorIs(t, err, store.ErrNotFound)
	first, err := s.Insert(ctx, "a/b", []byte("one"))
	require.NoError(t, err)
	_, err = s.Insert(ctx, "a/b", []byte("two"))
	require.ErrorIs(t, err, store.ErrConflict)
	second, err := s.Put(ctx, "a/b", []byte("two"), first)
	require.NoError(t, err)
	_, err = s.Put(ctx, "a/b", []byte("three"), first)
	require.ErrorIs(t, err, store.ErrConflict)

	row, changed, err := s.GetChanged(ctx, "a/b", first)
	require.NoError(t, err)
	require.True(t, changed)
	require.Equal(t, store.Row{Key: "a/b", ETag: second, Value: []byte("two")}, row)
	_, changed, err = s.GetChanged(ctx, "a/b", second)
	require.NoError(t, err)
	require.False(t, changed)
	require.ErrorIs(t, s.Delete(ctx, "a/b", first), store.ErrConflict)
	require.NoError(t, s.Delete(ctx, "a/b", second))
}

func TestListAndObjects(t *testing.T) {
	_, s := startStore(t, time.Second)
	ctx := t.Context()
	for i := range 4 {
		_, err := s.Put(ctx, fmt.Sprintf("p/%d", i), []byte{byte(i)}, "")
		require.NoError(t, err)
	}
	_, err := s.Put(ctx, "q/1 ?%", []byte("other"), "")
	require.NoError(t, err)
	rows, err := s.List(ctx, "p/", "p/0")
	require.NoError(t, err)
	require.Len(t, rows, 3)
	require.Equal(t, []byte{1}, rows[0].Value)
	row, err := s.Get(ctx, "q/1 ?%")
	require.NoError(t, err)
	require.Equal(t, "other", string(row.Value))
	require.NoError(t, s.PutObject(ctx, "o", []byte("object")))
	object, err := s.GetObject(ctx, "o")
	require.NoError(t, err)
	require.Equal(t, "object", string(object))
}

func TestPlatformFaults(t *testing.T) {
	platform, s := startStore(t, 300*time.Millisecond)
	ctx := t.Context()
	etag, err := s.Insert(ctx, "k", []byte("one"))
	require.NoError(t, err)

	platform.SetFault(plat.NewFault(plat.ModeNoAnswer).OnWrites("k"))
	_, err = s.Put(ctx, "k", []byte("two"), etag)
	require.ErrorIs(t, err, store.ErrUnknownEffect)
	row, err := s.Get(ctx, "k")
	require.NoError(t, err)
	require.Equal(t, "two", string(row.Value))

	platform.SetFault(plat.NewFault(plat.ModeRefuse))
	_, err = s.Put(ctx, "k", []byte("three"), "")
	require.ErrorIs(t, err, store.ErrUnavailable)

	platform.SetFault(plat.NewFault(plat.ModeSlow).WithDelay(time.Minute))
	_, err = s.Get(ctx, "k")
	require.ErrorIs(t, err, store.ErrUnavailable)

	platform.SetFault(plat.NewFault(plat.ModeDown))
	_, err = s.Get(ctx, "k")
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.False(t, s.UnavailableSince().IsZero())

	before := platform.Counts().Reads
	for range 100 {
		_, err = s.Get(ctx, "k")
		require.ErrorIs(t, err, store.ErrUnavailable)
	}
	require.LessOrEqual(t, platform.Counts().Reads-before, int64(2), "the open circuit breaker stops requests")

	platform.SetFault(plat.NewFault(plat.ModeNone))
	require.Eventually(t, func() bool { _, err := s.Get(ctx, "k"); return err == nil }, 10*time.Second, 20*time.Millisecond)
	require.True(t, s.UnavailableSince().IsZero())
}

func TestWithoutPlatform(t *testing.T) {
	s := store.New(store.Options{})
	_, err := s.Get(t.Context(), "k")
	require.ErrorIs(t, err, store.ErrUnavailable)
	s = store.New(store.Options{Table: "127.0.0.1:1"})
	_, err = s.Insert(t.Context(), "k", nil)
	require.ErrorIs(t, err, store.ErrUnavailable, "nothing was sent")
}

func TestRestoreOlder(t *testing.T) {
	platform, s := startStore(t, time.Second)
	_, err := s.Put(t.Context(), "k", []byte("old"), "")
	require.NoError(t, err)
	platform.Save()
	_, err = s.Put(t.Context(), "k", []byte("new"), "")
	require.NoError(t, err)
	platform.Restore()
	row, err := s.Get(t.Context(), "k")
	require.NoError(t, err)
	require.Equal(t, "old", string(row.Value))
}
