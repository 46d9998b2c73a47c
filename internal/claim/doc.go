// Package claim binds idempotency keys to once operations, and stores the responses of once operations in the platform's table.
//
// A once operation runs at most once, and only at its home, the node incarnation that its ticket names. A claim is a table row
// that binds an idempotency key to a ticket. A recorded response can be looked up after its home is gone.
package claim
