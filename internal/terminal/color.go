package terminal

const (
	resetStyle  = "\x1b[0m"
	boldStyle   = "\x1b[1m"
	redStyle    = "\x1b[31m"
	greenStyle  = "\x1b[32m"
	yellowStyle = "\x1b[33m"
	greyStyle   = "\x1b[90m"
)

// Bold formats text in bold.
func (streams *Streams) Bold(text string) string { return streams.style(boldStyle, text) }

// Red formats text about a failure.
func (streams *Streams) Red(text string) string { return streams.style(redStyle, text) }

// Green formats text about a success.
func (streams *Streams) Green(text string) string { return streams.style(greenStyle, text) }

// Yellow formats a warning.
func (streams *Streams) Yellow(text string) string { return streams.style(yellowStyle, text) }

// Grey formats secondary text.
func (streams *Streams) Grey(text string) string { return streams.style(greyStyle, text) }

func (streams *Streams) style(style, text string) string {
	if !streams.Color || text == "" {
		return text
	}
	return style + text + resetStyle
}
