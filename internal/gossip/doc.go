// Package gossip implements the kernel service `gossip`: it runs the membership protocol of package member between the nodes, and
// lists the members of the fleet for the other services of the node.
//
// Nodes exchange membership messages by RPC on their control listeners. A joining node starts from seed addresses in its
// settings, or from contacts: a few nodes per data centre whose control addresses are kept in the table service.
package gossip
