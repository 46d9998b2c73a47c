// Package demand decides at the entry node, the first node that a request passes, whether the services that the request's call tree
// reaches have spare capacity.
//
// The call tree is the request with all calls that it causes. Its size is estimated from counts beside the local backend server and
// from the reports in responses, which also carry the admission levels of the services.
package demand
