// Command drive plays one case of the review: it starts node processes with the command of the deploy file, stand-ins of the platform's
// store, targets and clients on loopback addresses, and checks one rule from what clients and targets saw.
package main
