// Package relay is the HTTP client for attempts: it sends one request to a node or a backend server over pooled connections,
// enforces deadlines and cancellation, and reports how far a failed attempt came.
package relay
