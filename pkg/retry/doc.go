// Package retry decides whether a failed attempt is retried, and after which delay.
//
// Retries are limited by a budget in proportion to the first attempts, so that they can't amplify an overload. A move is a
// retry at another target after one that was draining, warming or unreachable; it is not charged to the budget.
package retry
