// Package credit bounds the attempts of one root request with ledgers held in escrow along the call tree.
package credit
