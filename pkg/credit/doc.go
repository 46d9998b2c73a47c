// Package credit bounds the number of attempts that one root request can cause in its whole call tree.
//
// An attempt sends a call to a target once and costs one credit; a retry costs a retry credit in addition. Each execution has
// a Ledger, which passes a part of its credits on with every attempt and gets the unspent ones back with the response. Credits
// move along the call tree but are never created, so the grant of the root request is the upper bound.
package credit
