package replica_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

const (
	// provenFields are the fields that show that a response is the replica's answer to the request "i".
	provenFields = "X-Id: i\r\n" + replicatest.Signed
	// lengthOfBody frames the body "body".
	lengthOfBody = "Content-Length: 4\r\n"
)

// headCase is a response of which only the head is in question; its whole body is "body" unless that is empty by its status.
type headCase struct {
	response string
	valid    bool
}

// checkHeads checks which responses are taken for the answer of a replica, also behind an interim response.
func checkHeads(t *testing.T, cases map[string]headCase) {
	for name, test := range cases {
		for prefixName, prefix := range map[string]string{"": "", " behind an interim response": "HTTP/1.1 102 Processing\r\n\r\n"} {
			t.Run(name+prefixName, func(t *testing.T) {
				client, handle := callWithScript(t, replicatest.Closing(replicatest.Raw(prefix+test.response)))
				answer, err := client.Do(t.Context(), handle, callWithID("i"))
				var body []byte
				if err == nil {
					body, err = io.ReadAll(answer.Body)
					answer.Close(err == nil)
				}
				if (err == nil) != test.valid {
					t.Fatalf("body %q with error %v, want a valid answer: %t", body, err, test.valid)
				}
				if errors.Is(err, replica.ErrNotSent) {
					t.Errorf("error %v says that the request has not run", err)
				}
				if !test.valid && handle.KeptAlive() {
					t.Error("the connection of an invalid response is kept")
				}
				if test.valid && strings.HasSuffix(test.response, "body") && string(body) != "body" {
					t.Errorf("body %q", body)
				}
			})
		}
	}
}

// withStatusLine is a sound answer but for its first line.
func withStatusLine(line string) string { return line + provenFields + lengthOfBody + "\r\nbody" }

// TestResponseWithAnInvalidStatusLineIsNone: a response with the status 600 was an answer, and one with 000 an interim response, behind
// which the caller waited for another until its deadline.
func TestResponseWithAnInvalidStatusLineIsNone(t *testing.T) {
	checkHeads(t, map[string]headCase{
		"status 000":             {withStatusLine("HTTP/1.1 000 \r\n"), false},
		"status 000, empty body": {"HTTP/1.1 000 \r\n" + provenFields + "Content-Length: 0\r\n\r\n", false},
		"status 000, answer":     {"HTTP/1.1 000 \r\n\r\n" + withFields(""), false},
		"status 099, answer":     {"HTTP/1.1 099 X\r\n\r\n" + withFields(""), false},
		"status 042":             {withStatusLine("HTTP/1.1 042 X\r\n"), false},
		"status 099":             {withStatusLine("HTTP/1.1 099 X\r\n"), false},
		"status 600":             {withStatusLine("HTTP/1.1 600 X\r\n"), false},
		"status 999":             {withStatusLine("HTTP/1.1 999 X\r\n"), false},
		"status with a sign":     {withStatusLine("HTTP/1.1 +20 X\r\n"), false},
		"negative status":        {withStatusLine("HTTP/1.1 -00 X\r\n"), false},
		"status of two digits":   {withStatusLine("HTTP/1.1 20 X\r\n"), false},
		"status of four digits":  {withStatusLine("HTTP/1.1 2000 X\r\n"), false},
		"no status":              {withStatusLine("HTTP/1.1\r\n"), false},
		"two spaces":             {withStatusLine("HTTP/1.1  200 X\r\n"), false},
		"control byte in reason": {withStatusLine("HTTP/1.1 200 O\x01K\r\n"), false},
		"carriage return":        {withStatusLine("HTTP/1.1 200 O\rK\r\n"), false},
		"version 1.2":            {withStatusLine("HTTP/1.2 200 OK\r\n"), false},
		"version 2.0":            {withStatusLine("HTTP/2.0 200 OK\r\n"), false},
		"version 0.9":            {withStatusLine("HTTP/0.9 200 OK\r\n"), false},
		"lower-case version":     {withStatusLine("http/1.1 200 OK\r\n"), false},

		"usual":               {withStatusLine("HTTP/1.1 200 OK\r\n"), true},
		"no reason":           {withStatusLine("HTTP/1.1 200 \r\n"), true},
		"no space, no reason": {withStatusLine("HTTP/1.1 200\r\n"), true},
		"long reason":         {withStatusLine("HTTP/1.1 200 It is\twell \xc3\xa4\r\n"), true},
		"version 1.0":         {withStatusLine("HTTP/1.0 200 OK\r\n"), true},
		"unknown 4xx":         {withStatusLine("HTTP/1.1 499 X\r\n"), true},
		"unknown 5xx":         {withStatusLine("HTTP/1.1 599 X\r\n"), true},
		"line feeds alone":    {strings.ReplaceAll(withStatusLine("HTTP/1.1 200 OK\r\n"), "\r\n", "\n"), true},
		"no content":          {"HTTP/1.1 204 X\r\n" + provenFields + "\r\n", true},
	})
}

// withFields is a sound answer with further field lines, which come before the others.
func withFields(lines string) string {
	return "HTTP/1.1 200 OK\r\n" + lines + provenFields + lengthOfBody + "\r\nbody"
}

// TestResponseWithAnInvalidFieldIsNone: a field whose name holds a blank was dropped or, where it frames the body, ignored, and the rest
// passed on as the replica's answer.
func TestResponseWithAnInvalidFieldIsNone(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\n" + provenFields + "Transfer-Encoding%s chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	checkHeads(t, map[string]headCase{
		"blank inside a name":            {withFields("X Odd: 1\r\n"), false},
		"blank behind a name":            {withFields("X-Odd : 1\r\n"), false},
		"tab behind a name":              {withFields("X-Odd\t: 1\r\n"), false},
		"control byte in a name":         {withFields("X-\x01Odd: 1\r\n"), false},
		"delete in a name":               {withFields("X-\x7fOdd: 1\r\n"), false},
		"no ASCII in a name":             {withFields("X-\xc3\xa4: 1\r\n"), false},
		"separator in a name":            {withFields("X(Odd): 1\r\n"), false},
		"no name":                        {withFields(": 1\r\n"), false},
		"no colon":                       {withFields("X-Odd\r\n"), false},
		"blank before the first name":    {withFields(" X-Odd: 1\r\n"), false},
		"blank before a name":            {withFields("X-Even: 1\r\n X-Odd: 1\r\n"), false},
		"tab before a name":              {withFields("X-Even: 1\r\n\tX-Odd: 1\r\n"), false},
		"continued line":                 {withFields("X-Even: 1\r\n continued\r\n"), false},
		"line of blanks":                 {withFields("X-Even: 1\r\n \r\n"), false},
		"control byte in a value":        {withFields("X-Odd: a\x01b\r\n"), false},
		"zero byte in a value":           {withFields("X-Odd: a\x00b\r\n"), false},
		"carriage return in a value":     {withFields("X-Odd: a\rX-Even: b\r\n"), false},
		"carriage return behind a value": {withFields("X-Odd: a\r\r\n"), false},
		"line of a carriage return":      {withFields("X-Even: a\r\n\r\r\n"), false},
		"blank behind Content-Length":    {strings.Replace(withFields(""), "Content-Length:", "Content-Length :", 1), false},
		"blank behind Transfer-Encoding": {fmt.Sprintf(chunked, " :"), false},
		"blank behind the signature":     {strings.Replace(withFields(""), "X-Signature:", "X-Signature :", 1), false},

		"usual":                {withFields("X-Even: 1\r\n"), true},
		"no blank before":      {withFields("X-Even:1\r\n"), true},
		"blanks round a value": {withFields("X-Even: \t 1 \t \r\n"), true},
		"no value":             {withFields("X-Even:\r\n"), true},
		"colons in a value":    {withFields("X-Even: a:b : c\r\n"), true},
		"tab in a value":       {withFields("X-Even: a\tb\r\n"), true},
		"bytes over ASCII":     {withFields("X-Even: \xc3\xa4\xff\r\n"), true},
		"unusual name":         {withFields("x_!#$%&'*+.^`|~9: 1\r\n"), true},
		"chunks":               {fmt.Sprintf(chunked, ":"), true},
	})
}

// TestResponseWithContradictoryFramingIsNone: the chunks of a response of HTTP/1.0 were read as its body, and a length beside a transfer
// coding was ignored.
func TestResponseWithContradictoryFramingIsNone(t *testing.T) {
	const chunks = "4\r\nbody\r\n0\r\n\r\n"
	response := func(statusLine, framing, body string) string {
		return statusLine + "\r\n" + provenFields + framing + "\r\n" + body
	}
	const coded = "Transfer-Encoding: chunked\r\n"
	checkHeads(t, map[string]headCase{
		"chunks in HTTP/1.0":           {response("HTTP/1.0 200 OK", coded, chunks), false},
		"chunks in lower case":         {response("HTTP/1.0 200 OK", strings.ToLower(coded), chunks), false},
		"length before a coding":       {response("HTTP/1.1 200 OK", lengthOfBody+coded, chunks), false},
		"length behind a coding":       {response("HTTP/1.1 200 OK", coded+lengthOfBody, chunks), false},
		"two lengths":                  {response("HTTP/1.1 200 OK", lengthOfBody+"Content-Length: 3\r\n", "body"), false},
		"list of lengths":              {response("HTTP/1.1 200 OK", "Content-Length: 4, 3\r\n", "body"), false},
		"length with a sign":           {response("HTTP/1.1 200 OK", "Content-Length: +4\r\n", "body"), false},
		"negative length":              {response("HTTP/1.1 200 OK", "Content-Length: -4\r\n", "body"), false},
		"length over 64 bits":          {response("HTTP/1.1 200 OK", "Content-Length: 99999999999999999999\r\n", "body"), false},
		"empty length":                 {response("HTTP/1.1 200 OK", "Content-Length:\r\n", "body"), false},
		"other coding":                 {response("HTTP/1.1 200 OK", "Transfer-Encoding: gzip\r\n", "body"), false},
		"other coding, then chunks":    {response("HTTP/1.1 200 OK", "Transfer-Encoding: gzip, chunked\r\n", chunks), false},
		"chunks twice":                 {response("HTTP/1.1 200 OK", coded+coded, chunks), false},
		"length of a 204":              {response("HTTP/1.1 204 X", lengthOfBody, "body"), false},
		"chunks of a 204":              {response("HTTP/1.1 204 X", coded, chunks), false},
		"length of an interim":         {"HTTP/1.1 103 X\r\nContent-Length: 4\r\n\r\nbody" + withFields(""), false},
		"chunks of an interim":         {"HTTP/1.1 103 X\r\n" + coded + "\r\n" + chunks + withFields(""), false},
		"empty body of an interim":     {"HTTP/1.1 103 X\r\nContent-Length: 4\r\n\r\n" + withFields(""), false},
		"fields of an interim":         {"HTTP/1.1 103 X\r\nLink: x\r\n\r\n" + withFields(""), true},
		"the same length twice":        {response("HTTP/1.1 200 OK", lengthOfBody+lengthOfBody, "body"), true},
		"chunks":                       {response("HTTP/1.1 200 OK", coded, chunks), true},
		"chunks, name in lower case":   {response("HTTP/1.1 200 OK", "transfer-encoding: Chunked\r\n", chunks), true},
		"end of the connection":        {response("HTTP/1.1 200 OK", "", "body"), true},
		"end of the connection in 1.0": {response("HTTP/1.0 200 OK", "", "body"), true},
		"length 0 of a 204":            {response("HTTP/1.1 204 X", "Content-Length: 0\r\n", ""), true},
		"length of a 304":              {response("HTTP/1.1 304 X", lengthOfBody, ""), true},
	})
}
