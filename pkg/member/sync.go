package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// sum is a checksum over the fields that decide which of two entries supersedes the other.
func (e *Entry) sum() uint64 {
	var numbers [17]byte
	binary.LittleEndian.PutUint64(numbers[0:], e.Incarnation)
	binary.LittleEndian.PutUint64(numbers[8:], e.Version)
	numbers[16] = byte(verdictRank(e.State))
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(e.ID)
	_, _ = hash.Write(numbers[:])

	return hash.Sum64()
}

// bucketOf returns the digest bucket of an ID.
func bucketOf(id string) int {
	return int(xxhash.Sum64String(id) % BucketCount)
}

// digest returns the bucket checksums of all entries.
func (f *Fleet) digest() Digest {
	sums := f.sums

	return Digest{From: Update{Entry: f.self}, Sums: sums[:]}
}

// HandleSync responds to a digest with the entries of all buckets that differ.
func (f *Fleet) HandleSync(now time.Time, digest Digest) Difference {
	f.detectPause(now)
	f.Merge(now, digest.From)
	difference := Difference{From: Update{Entry: f.self}}
	if len(digest.Sums) != BucketCount {
		return difference
	}
	for i, sum := range f.sums {
		if sum != digest.Sums[i] {
			difference.Buckets = append(difference.Buckets, i)
		}
	}
	difference.Updates = f.updatesInBuckets(now, difference.Buckets)

	return difference
}

// updatesInBuckets returns all entries in the buckets except the node's own.
func (f *Fleet) updatesInBuckets(now time.Time, buckets []int) []Update {
	if len(buckets) == 0 {
		return nil
	}
	var wanted [BucketCount]bool
	for _, bucket := range buckets {
		if bucket >= 0 && bucket < BucketCount {
			wanted[bucket] = true
		}
	}
	var updates []Update
	for _, id := range f.ids {
		if id != f.self.ID && wanted[bucketOf(id)] {
			updates = append(updates, f.updateOf(f.records[id], now))
		}
	}

	return updates
}

// HandleSyncResponse merges the response to a digest and returns an exchange with the entries that the other node lacks, if any.
func (f *Fleet) HandleSyncResponse(now time.Time, action Action, difference Difference) []Action {
	f.detectPause(now)
	if action.Sent.Before(f.resumedAt) {
		return nil
	}
	f.recordResponse(now, difference.From.Entry)
	f.mergeBulk(now, Message{From: difference.From, Updates: difference.Updates})
	remote := make(map[string]*Entry, len(difference.Updates)+1)
	if difference.From.Entry != nil {
		remote[difference.From.Entry.ID] = difference.From.Entry
	}
	for _, update := range difference.Updates {
		if update.Entry != nil {
			remote[update.Entry.ID] = update.Entry
		}
	}
	message := Message{From: Update{Entry: f.self}}
	for _, update := range f.updatesInBuckets(now, difference.Buckets) {
		known, found := remote[update.Entry.ID]
		if !found || update.Entry.supersedes(known) {
			message.Updates = append(message.Updates, update)
		}
	}
	if difference.From.Entry != nil {
		message.Updates = append(message.Updates, f.departureFor(difference.From.Entry.ID, now)...)
	}
	if len(message.Updates) == 0 {
		return nil
	}

	return []Action{{Kind: ActionExchange, Sent: now, To: action.To, Address: action.Address, Message: message}}
}
