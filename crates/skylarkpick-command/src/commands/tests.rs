//! Runs the examples of every command.

use super::all_commands;
use crate::{Console, run_with};
use std::{
    io::Write,
    sync::{Arc, Mutex},
};

#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, piece: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(piece);
        Ok(piece.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Sink {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

#[test]
fn examples_do_what_they_say() {
    for command in all_commands() {
        for example in command.examples() {
            let (results, messages) = (Sink::default(), Sink::default());
            let mut console = Console::to(Box::new(results.clone()), Box::new(messages.clone()));
            let mut arguments = vec![command.name().to_string()];
            arguments.extend(example.arguments.iter().map(|argument| argument.to_string()));
            let exit = run_with(&arguments, &mut console);
            let (results, messages) = (results.text(), messages.text());
            assert_eq!(exit, example.exit, "{arguments:?}\n{results}\n{messages}");
            assert!(results.contains(example.shows), "{arguments:?}\n{results}\n{messages}");
        }
    }
}

#[test]
fn misspelt_commands_get_a_hint() {
    struct Case {
        name: &'static str,
        says: &'static str,
    }
    let cases = [
        Case { name: "dmeo", says: "did you mean \"demo\"?" },
        Case { name: "versoin", says: "did you mean \"version\"?" },
        Case { name: "xyzzy", says: "see `skylarkpick help`" },
    ];
    for case in cases {
        let messages = Sink::default();
        let mut console = Console::to(Box::new(Sink::default()), Box::new(messages.clone()));
        let exit = run_with(&[case.name.to_string()], &mut console);
        assert_eq!(exit, crate::Exit::WrongUse);
        assert!(messages.text().contains(case.says), "{}", messages.text());
    }
}
