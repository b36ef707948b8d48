//! The questionnaire, asked line by line.

use std::fmt::Write as _;
use std::io::{BufRead, Write};

use super::answers;
use super::fields::{DURATION, NAME, names};
use super::plan;
use crate::settings::value;

/// One question.
struct Question {
    key: &'static str,
    text: &'static str,
    default: &'static str,
    allowed: &'static str,
    fits: fn(&str) -> bool,
}

const ADDR: Question = Question {
    key: "addr",
    text: "Address of the platform's object API",
    default: "127.0.0.1:9000",
    allowed: "an IP address and port",
    fits: |text| text.parse::<std::net::SocketAddr>().is_ok(),
};

const DOMAIN: Question = Question {
    key: "",
    text: "Failure domain with entry instances (empty: no more)",
    default: "",
    allowed: NAME,
    fits: |text| text.is_empty() || value::name(text).is_some(),
};

const PLACE: [Question; 2] = [
    Question {
        key: "region",
        text: "  its region",
        default: "home",
        allowed: NAME,
        fits: |text| value::name(text).is_some(),
    },
    Question {
        key: "entries",
        text: "  IP addresses of its entry instances",
        default: "127.0.0.1",
        allowed: "IP addresses separated by commas",
        fits: |text| answers::addresses(text).is_some(),
    },
];

const SERVICE: Question = Question {
    key: "",
    text: "Service (empty: no more)",
    ..DOMAIN
};

const KIND: Question = Question {
    key: "kind",
    text: "  does it generate text on model engines, or is it a plain HTTP service",
    default: "generation",
    allowed: "generation or plain",
    fits: |text| plan::kind(text).is_some(),
};

const COMMON: [Question; 4] = [
    Question {
        key: "version",
        text: "  version that runs today",
        default: "v1",
        allowed: NAME,
        fits: |text| value::name(text).is_some(),
    },
    Question {
        key: "longest",
        text: "  longest time that one request takes",
        default: "1m",
        allowed: DURATION,
        fits: |text| value::duration(text).is_some(),
    },
    Question {
        key: "largest",
        text: "  largest request",
        default: "4MiB",
        allowed: "a whole number above 0 and B, KiB, MiB or GiB",
        fits: |text| value::bytes(text).is_some(),
    },
    Question {
        key: "fencing",
        text: "  do its targets check the fencing number of an order",
        default: "ignored",
        allowed: "checked or ignored",
        fits: |text| plan::fencing(text).is_some(),
    },
];

const MODEL: Question = Question {
    key: "model",
    text: "  model of that version",
    default: "",
    allowed: "a model's name",
    fits: |text| !text.is_empty(),
};

const CALLS: [Question; 3] = [
    Question {
        key: "never",
        text: "  calls that must not run twice",
        default: "",
        allowed: "methods and paths separated by commas, such as POST /deposits",
        fits: |text| answers::calls(text).is_some(),
    },
    Question {
        key: "safe",
        text: "  calls that may run twice",
        default: "GET /",
        allowed: "methods and paths separated by commas, such as GET /",
        fits: |text| answers::calls(text).is_some(),
    },
    Question {
        key: "status",
        text: "  path that tells the outcome of a call by its key (empty: none)",
        default: "",
        allowed: "a path such as /deposits/status",
        fits: |text| text.is_empty() || text.starts_with('/'),
    },
];

const ACCOUNTS: [Question; 2] = [
    Question {
        key: "large",
        text: "Accounts that send much",
        default: "",
        allowed: "names separated by commas",
        fits: |text| names(text).is_some(),
    },
    Question {
        key: "small",
        text: "Other accounts",
        default: "",
        allowed: "names separated by commas",
        fits: |text| names(text).is_some(),
    },
];

const RISK: [Question; 2] = [
    Question {
        key: "tolerance",
        text: "How much harm may a bad version do before it is taken back",
        default: "low",
        allowed: "low, medium or high",
        fits: |text| answers::tolerance(text).is_some(),
    },
    Question {
        key: "finish",
        text: "Time within which a move to a good version must be done",
        default: "6h",
        allowed: DURATION,
        fits: |text| value::duration(text).is_some(),
    },
];

/// Asks all questions and returns the answers as INI text.
///
/// # Errors
/// When the input ends early or a stream fails.
pub(crate) fn ask(input: impl BufRead, output: impl Write) -> std::io::Result<String> {
    let mut dialog = Dialog {
        input,
        output,
        text: String::new(),
    };
    dialog.section("platform", &[ADDR])?;
    while let Some(domain) = dialog.name(&DOMAIN)? {
        dialog.section(&format!("place {domain}"), &PLACE)?;
    }
    while let Some(service) = dialog.name(&SERVICE)? {
        dialog.head(&format!("workload {service}"));
        let kind = dialog.put(&KIND)?;
        match kind.as_str() {
            "generation" => drop(dialog.put(&MODEL)?),
            _ => dialog.put_all(&CALLS)?,
        }
        dialog.put_all(&COMMON)?;
    }
    dialog.section("accounts", &ACCOUNTS)?;
    dialog.section("risk", &RISK)?;
    Ok(dialog.text)
}

struct Dialog<R, W> {
    input: R,
    output: W,
    text: String,
}

impl<R: BufRead, W: Write> Dialog<R, W> {
    fn head(&mut self, title: &str) {
        let _ = write!(self.text, "\n[{title}]\n");
    }

    fn section(&mut self, title: &str, questions: &[Question]) -> std::io::Result<()> {
        self.head(title);
        self.put_all(questions)
    }

    fn put_all(&mut self, questions: &[Question]) -> std::io::Result<()> {
        for question in questions {
            self.put(question)?;
        }
        Ok(())
    }

    fn put(&mut self, question: &Question) -> std::io::Result<String> {
        let answer = self.answer(question)?;
        if !answer.is_empty() {
            let _ = writeln!(self.text, "{} = {answer}", question.key);
        }
        Ok(answer)
    }

    fn name(&mut self, question: &Question) -> std::io::Result<Option<String>> {
        let answer = self.answer(question)?;
        Ok((!answer.is_empty()).then_some(answer))
    }

    /// Asks until the answer fits.
    fn answer(&mut self, question: &Question) -> std::io::Result<String> {
        loop {
            match question.default {
                "" => write!(self.output, "{}: ", question.text)?,
                default => write!(self.output, "{} [{default}]: ", question.text)?,
            }
            self.output.flush()?;
            let mut line = String::new();
            if self.input.read_line(&mut line)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            let answer = match line.trim() {
                "" => question.default,
                answer => answer,
            };
            if (question.fits)(answer) {
                return Ok(answer.to_owned());
            }
            writeln!(self.output, "  allowed: {}", question.allowed)?;
        }
    }
}
