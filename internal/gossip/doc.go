// Package gossip is the service `gossip`: it moves the messages of membership between processes and offers the members.
package gossip
