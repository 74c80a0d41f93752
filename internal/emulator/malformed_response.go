package emulator

import (
	"fmt"
	"strings"
)

// unreadable is noise that is neither RESP nor HTTP: control characters and printable ones by turns.
var unreadable = strings.Repeat("\x07~", 20)

// cacheDetails are the elements behind the value in a cache's response.
const cacheDetails = "$3\r\nhit\r\n$-1\r\n"

// malformedCacheResponses are responses of a cache that no client may be served, by the value that a sound one would have.
var malformedCacheResponses = []func(value string) string{
	func(string) string { return "?!\r\n" },
	func(string) string { return "*3\r\n+" + unreadable + "\r\n" + cacheDetails },
	func(string) string { return "*3\r\n:7\r\n" + cacheDetails },
	func(string) string { return "*3\r\n$-0\r\n\r\n" + cacheDetails },
	func(string) string { return "*3\r\n*3\r\n" + cacheDetails },
	func(string) string { return "*3\r\n$3000000000\r\n" + unreadable },
	func(string) string { return "*1\r\n$7\r\n" + unreadable[:7] + "\r\n" },
	func(value string) string {
		return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n%s", len(value)/2, value, cacheDetails)
	},
	func(value string) string {
		return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n+%s\r\n$-1\r\n", len(value), value, unreadable)
	},
	func(string) string { return "-BUSY " + unreadable + "\r\n" },
	func(string) string { return "-" + unreadable + "\r\n" },
}

// malformedOriginResponses are responses of the origin that no client may be served, by the value that a sound one would have.
var malformedOriginResponses = []func(value string) string{
	func(string) string { return "SMTP 1\r\n\r\n" },
	func(string) string { return "HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n" },
	func(string) string { return "HTTP/1.1 200 OK\r\n" + unreadable + "\r\nContent-Length: 0\r\n\r\n" },
	func(value string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %dx\r\n\r\n%s", len(value), value)
	},
	func(string) string {
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + unreadable + "\r\n\r\n"
	},
	func(value string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n0\r\n\r\n", len(value), value)
	},
}

// malformedResponse returns the one of the malformed responses that a request gets.
func malformedResponse(forms []func(value string) string, id, value string) string {
	form := int(hashedFloat(id, "malformed") * float64(len(forms)))
	return forms[form](value)
}
