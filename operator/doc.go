// Package operator holds the commands of the operators' client. It reads the operators' endpoints of
// many entries at once and turns what they say into tables of rows; it changes nothing. An entry that
// can't be reached is a row with its error in every result, because a view that leaves it out could be
// taken for the view of the whole fleet.
package operator
