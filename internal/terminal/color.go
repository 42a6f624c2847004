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
func (streams *Streams) Bold(text string) string { return streams.style(boldStyle, text) }

// Red shows text that tells of a failure.
func (streams *Streams) Red(text string) string { return streams.style(redStyle, text) }

// Green shows text that tells of success.
func (streams *Streams) Green(text string) string { return streams.style(greenStyle, text) }

// Yellow shows text that asks for attention.
func (streams *Streams) Yellow(text string) string { return streams.style(amberStyle, text) }

// Grey shows text of less interest.
func (streams *Streams) Grey(text string) string { return streams.style(greyStyle, text) }

func (streams *Streams) style(style, text string) string {
	if !streams.Color || text == "" {
		return text
	}
	return style + text + reset
}
