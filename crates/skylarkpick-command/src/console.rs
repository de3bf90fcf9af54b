//! Output of commands: results go to standard output, messages to standard error.

use std::io::{IsTerminal, Write};

/// Output streams of a command.
pub struct Console {
    output: Box<dyn Write + Send>,
    messages: Box<dyn Write + Send>,
    has_colours: bool,
}

impl Console {
    /// Opens a console on standard output and standard error. Colours are on when standard
    /// output is a terminal and `NO_COLOR` is not set.
    pub fn open() -> Console {
        let has_colours = std::io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none();
        Console {
            output: Box::new(std::io::stdout()),
            messages: Box::new(std::io::stderr()),
            has_colours,
        }
    }

    /// Opens a console without colours on the given writers.
    pub fn with_writers(output: Box<dyn Write + Send>, messages: Box<dyn Write + Send>) -> Console {
        Console { output, messages, has_colours: false }
    }

    /// Writes a line to the output. Write errors are ignored: a closed pipe means that the reader
    /// needs no more output.
    pub fn print(&mut self, line: &str) {
        let _ = writeln!(self.output, "{line}");
    }

    /// Writes a progress or error message to standard error and flushes it.
    pub fn print_message(&mut self, line: &str) {
        let _ = writeln!(self.messages, "{line}");
        let _ = self.messages.flush();
    }

    /// Returns the text in bold when colours are on, otherwise unchanged.
    pub fn bold(&self, text: &str) -> String {
        if self.has_colours { format!("\u{1b}[1m{text}\u{1b}[0m") } else { text.to_string() }
    }
}
