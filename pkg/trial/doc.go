// Package trial holds the state machine of settings proposals and the statistical test that decides about them.
//
// A proposal runs on trial on a bounded share of the nodes, while the rest keep the accepted settings as control group. Judge
// compares both groups by their goodput of important requests (classes high and vital) and accepts or refuses the proposal.
// A proposal whose coordinator fails to decide in time expires.
package trial
