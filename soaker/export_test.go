package soaker

// OpenAndCloseLink returns the address of a link that it closes.
func OpenAndCloseLink() string {
	l := newLink("127.0.0.1:1")
	defer l.close()
	return l.address()
}
