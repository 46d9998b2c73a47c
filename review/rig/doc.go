// Command rig plays the scripts of the second review: it starts nodes with the command of the deploy file as processes of their own, with
// stand-ins of the platform, the targets and the clients, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case couldn't run.
package main
