// Package retry decides whether, where and when a failed attempt is made again, within a budget.
package retry
