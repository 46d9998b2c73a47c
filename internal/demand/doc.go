// Package demand is the service that knows which call trees the fleet's services have room for.
//
// It learns from counts beside the own backend server and from the reports on answers, and is asked at a request's first hop.
package demand
