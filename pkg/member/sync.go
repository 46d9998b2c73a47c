package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// sum is a hash of all that the order of entries looks at.
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

func bucketOf(id string) int {
	return int(xxhash.Sum64String(id) % BucketCount)
}

// digest returns the sums of all entries.
func (f *Fleet) digest() Digest {
	sums := f.sums

	return Digest{From: Update{Entry: f.self}, Sums: sums[:]}
}

// HandleSync answers a digest with the entries of all parts that differ.
func (f *Fleet) HandleSync(now time.Time, digest Digest) Difference {
	f.checkPause(now)
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
	difference.Updates = f.inBuckets(now, difference.Buckets)

	return difference
}

// inBuckets returns all entries of these parts but the node's own.
func (f *Fleet) inBuckets(now time.Time, buckets []int) []Update {
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
			updates = append(updates, f.update(f.records[id], now))
		}
	}

	return updates
}

// HandleSyncResponse takes in the answer to a digest and returns the exchange that tells the other node what it lacks.
func (f *Fleet) HandleSyncResponse(now time.Time, action Action, difference Difference) []Action {
	f.checkPause(now)
	if action.Sent.Before(f.resumed) {
		return nil
	}
	f.contacted(now, difference.From.Entry)
	f.mergeBulk(now, Message{From: difference.From, Updates: difference.Updates})
	theirs := make(map[string]*Entry, len(difference.Updates)+1)
	if difference.From.Entry != nil {
		theirs[difference.From.Entry.ID] = difference.From.Entry
	}
	for _, update := range difference.Updates {
		if update.Entry != nil {
			theirs[update.Entry.ID] = update.Entry
		}
	}
	message := Message{From: Update{Entry: f.self}}
	for _, update := range f.inBuckets(now, difference.Buckets) {
		known, found := theirs[update.Entry.ID]
		if !found || update.Entry.newer(known) {
			message.Updates = append(message.Updates, update)
		}
	}
	if len(message.Updates) == 0 {
		return nil
	}

	return []Action{{Kind: ActionExchange, Sent: now, To: action.To, Address: action.Address, Message: message}}
}
