// Package claim ties idempotency keys to one operation at one home, and keeps the answers of once operations in the table.
package claim
