// Package route selects the target of each attempt of a call: the executing node, whose local backend server runs it. It runs
// at the entry node, which received the call, and uses the results observed there and the load that targets report with their
// responses.
package route
