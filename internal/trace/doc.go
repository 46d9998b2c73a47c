// Package trace implements the decision log, which states why a node routed, admitted, retried or refused a call.
//
// Lines are buffered and written in batches, and dropped if the buffer is full, so that logging never blocks a call. The
// latest decisions are also kept in memory, where the command explain looks them up.
package trace
