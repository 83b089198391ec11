package nutmegserve

import "bytes"

// headMeter counts the bytes and lines of a request's head as they are read. It does not
// parse: net/http decides what a head is.
type headMeter struct {
	bytes   int
	lines   int
	line    int  // bytes of the line that is being read, without its line feed
	carried bool // the line that is being read is a single carriage return so far
	begun   bool // a line that is not empty has ended
	ended   bool // the empty line behind the head has been read
}

// add counts a part of the head. Bytes behind the head are not counted.
func (m *headMeter) add(part []byte) {
	for len(part) > 0 && !m.ended {
		n := bytes.IndexByte(part, '\n')
		if n < 0 {
			m.addToLine(part)
			return
		}
		m.addToLine(part[:n])
		m.endLine()
		part = part[n+1:]
	}
}

func (m *headMeter) addToLine(part []byte) {
	if len(part) == 0 {
		return
	}
	m.carried = m.line == 0 && len(part) == 1 && part[0] == '\r'
	m.line += len(part)
	m.bytes += len(part)
}

func (m *headMeter) endLine() {
	m.bytes++
	m.lines++
	isEmpty := m.line == 0 || m.carried
	m.ended = isEmpty && m.begun
	m.begun = m.begun || !isEmpty
	m.line, m.carried = 0, false
}
