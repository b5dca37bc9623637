// Package bluebelloddhead lists responses that an endpoint in trouble sends and that are no HTTP, for tests of programs
// that read responses.
//
// # Usage
//
//	for name, head := range bluebelloddhead.Heads("Call-ID: x\r\n") {
//		conn.Write([]byte(head + body))
//	}
package bluebelloddhead

// Heads returns heads of successful responses with the given fields, by name. Each has a defect, and most hide
// that the body has the length 4.
func Heads(fields string) map[string]string {
	const length = "Content-Length: 4\r\n"
	head := func(status, odd string) string { return "HTTP/1.1 " + status + "\r\n" + fields + odd + "\r\n" }
	return map[string]string{
		"Status000":              head("000 OK", length),
		"Status099":              head("099 OK", length),
		"Status600":              head("600 OK", length),
		"Status999":              head("999 OK", length),
		"StatusSwitching":        head("101 Switching Protocols", length),
		"ControlInReason":        head("200 O\x01K", length),
		"InformationalOdd":       "HTTP/1.1 103 Early Hints\r\nSome Field: 1\r\n\r\n" + head("200 OK", length),
		"InformationalStatus000": "HTTP/1.1 000 Early\r\n\r\n" + head("200 OK", length),
		"BlankInName":            head("200 OK", length+"Some Field: 1\r\n"),
		"BlankBeforeColon":       head("200 OK", "Content-Length : 4\r\n"),
		"BlankBeforeChunks":      head("200 OK", "Transfer-Encoding : chunked\r\n"),
		"TabBeforeColon":         head("200 OK", "Content-Length\t: 4\r\n"),
		"BlankBeforeName":        head("200 OK", " Content-Length: 4\r\n"),
		"ControlInName":          head("200 OK", length+"Some\x01Field: 1\r\n"),
		"NulInName":              head("200 OK", length+"Some\x00Field: 1\r\n"),
		"DeleteInName":           head("200 OK", length+"Some\x7fField: 1\r\n"),
		"NoName":                 head("200 OK", length+": 1\r\n"),
		"NoColon":                head("200 OK", length+"SomeField\r\n"),
		"ControlInValue":         head("200 OK", length+"Some-Field: a\x01b\r\n"),
		"NulInValue":             head("200 OK", length+"Some-Field: a\x00b\r\n"),
		"ReturnInValue":          head("200 OK", length+"Some-Field: a\rb\r\n"),
		"ReturnHidesLength":      head("200 OK", "Some-Field: a\rContent-Length: 4\r\n"),
		"LengthAndChunks":        head("200 OK", length+"Transfer-Encoding: chunked\r\n"),
		"ChunksOfHTTP10":         "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n",
	}
}
