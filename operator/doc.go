// Package operator implements the commands of the operators' client. It reads the operators' endpoints of
// many entries concurrently and presents the results as tables. It changes nothing.
//
// Every result of a query shows an entry that can't be reached together with the error. Without that, the
// view of a part of the fleet could be mistaken for a view of all of it.
package operator
