// Package holder provides the service `holder`, which distributes the settings tree to the nodes and puts changes to it on
// trial.
//
// An accepted version of the tree is a revision; revisions are numbered from 1, and the latest one is in force. The platform's
// table stores it in its head row. Holders poll that row and exchange revisions with each other, so that nodes without access to
// the table receive them too. A node only ever replaces its revision by one with a higher number.
//
// A change requested by an operator is an edit. The node that receives it becomes its coordinator: it merges the edit with the
// revision in force, records it as a proposal and puts it on trial on a share of the nodes. These use the proposal in place of
// the revision in force, under a lease that the coordinator renews. The share of important requests that they answer completely
// and in time (the goodput), compared with that of a control group, decides whether the proposal becomes the next revision.
package holder
