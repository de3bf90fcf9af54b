//! Where commands write: results to one side, messages to the other.

use std::io::{IsTerminal, Write};

/// Where commands write.
pub struct Console {
    results: Box<dyn Write + Send>,
    messages: Box<dyn Write + Send>,
    colours: bool,
}

impl Console {
    /// Opens the process's standard output and error.
    pub fn open() -> Console {
        let colours = std::io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none();
        Console {
            results: Box::new(std::io::stdout()),
            messages: Box::new(std::io::stderr()),
            colours,
        }
    }

    /// Opens a console that writes to the given places, without colours.
    pub fn to(results: Box<dyn Write + Send>, messages: Box<dyn Write + Send>) -> Console {
        Console { results, messages, colours: false }
    }

    /// Writes a line of the result. A closed output is not an error: nobody reads it.
    pub fn result(&mut self, line: &str) {
        let _ = writeln!(self.results, "{line}");
    }

    /// Writes a line for the person who waits.
    pub fn message(&mut self, line: &str) {
        let _ = writeln!(self.messages, "{line}");
        let _ = self.messages.flush();
    }

    /// Makes a text bold on a terminal that shows colours.
    pub fn bold(&self, text: &str) -> String {
        if self.colours { format!("\u{1b}[1m{text}\u{1b}[0m") } else { text.to_string() }
    }
}
