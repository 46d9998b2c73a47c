// Package relay carries one HTTP attempt to a node or a backend server, on connections that can be cancelled and dropped.
package relay
