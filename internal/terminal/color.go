package terminal

const (
	reset      = "\x1b[0m"
	boldStyle  = "\x1b[1m"
	redStyle   = "\x1b[31m"
	greenStyle = "\x1b[32m"
	amberStyle = "\x1b[33m"
	greyStyle  = "\x1b[90m"
)

// Bold shows text in bold.
func (s *Streams) Bold(text string) string { return s.style(boldStyle, text) }

// Red shows text that tells of a failure.
func (s *Streams) Red(text string) string { return s.style(redStyle, text) }

// Green shows text that tells of success.
func (s *Streams) Green(text string) string { return s.style(greenStyle, text) }

// Yellow shows text that asks for attention.
func (s *Streams) Yellow(text string) string { return s.style(amberStyle, text) }

// Grey shows text of less interest.
func (s *Streams) Grey(text string) string { return s.style(greyStyle, text) }

func (s *Streams) style(style, text string) string {
	if !s.Color || text == "" {
		return text
	}
	return style + text + reset
}
