// Package closer closes the connections of servers without losing what was written on
// them. A socket that is closed with unread bytes is reset, and what its peer has not
// received yet is dropped. A connection on which an answer may still be on its way is
// therefore closed for writing first, and read until its peer closes it too.
package closer
