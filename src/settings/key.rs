//! Every key of the settings: what it means, its default and what it may be.

/// A key of the settings file.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Section that it stands in.
    pub section: &'static str,
    /// Its name.
    pub name: &'static str,
    /// Value when it is left out; none when it must be given.
    pub default: Option<&'static str>,
    /// What it may be.
    pub allowed: &'static str,
    /// What it means.
    pub about: &'static str,
}

const NAME: &str = "1 to 64 letters, digits, `-`, `_` or `.`";
const ADDR: &str = "an IP address and port, such as 10.0.0.5:8080";
const LISTEN: &str = "an IP address and port, such as 10.0.0.5:8080; port 0 takes a free one";
const DURATION: &str = "a whole number above 0 and ms, s, m or h, such as 250ms";
const SIZE: &str = "a whole number above 0 and B, KiB, MiB or GiB, such as 64MiB";
const COUNT: &str = "a whole number above 0";

/// Section of the operators' keys, whose names are free.
pub(crate) const OPERATORS: &str = "operators";

/// What a digest may be.
pub(crate) const DIGEST: &str = "64 hex digits: the SHA-256 of the key";

/// All keys but those of `[operators]`, in the order of the file.
pub const KEYS: &[Key] = &[
    key(
        "instance",
        "name",
        None,
        NAME,
        "Name of this instance, unique in the fleet",
    ),
    key(
        "instance",
        "domain",
        None,
        NAME,
        "Failure domain that it runs in",
    ),
    key(
        "instance",
        "region",
        None,
        NAME,
        "Region of that failure domain",
    ),
    key(
        "listen",
        "caller",
        None,
        LISTEN,
        "Address for callers and the balancer's checks",
    ),
    key("listen", "admin", None, LISTEN, "Address for operators"),
    key(
        "listen",
        "peer",
        None,
        LISTEN,
        "Address for other instances",
    ),
    key(
        "platform",
        "addr",
        None,
        ADDR,
        "Address of the platform's object API",
    ),
    key(
        "platform",
        "timeout",
        Some("1s"),
        DURATION,
        "Longest wait for an answer of the platform",
    ),
    key(
        "platform",
        "poll",
        Some("1s"),
        DURATION,
        "Time between readings of the instance list; at least the timeout",
    ),
    key(
        "peers",
        "key",
        None,
        "a text that is not empty, the same on all instances",
        "Key shared by all instances",
    ),
    key(
        "peers",
        "heartbeat",
        Some("500ms"),
        DURATION,
        "Time between heartbeats",
    ),
    key(
        "peers",
        "seeds",
        Some(""),
        "peer addresses of other instances, separated by commas",
        "Instances to ask before the platform's list is known",
    ),
    key(
        "peers",
        "advertise",
        Some(""),
        "an IP address and port; empty: the address of listen.peer",
        "Address under which other instances reach this one",
    ),
    key(
        "limits",
        "headers",
        Some("16KiB"),
        SIZE,
        "Bytes of all headers of a request",
    ),
    key(
        "limits",
        "body",
        Some("4MiB"),
        SIZE,
        "Bytes of a request's body",
    ),
    key(
        "limits",
        "receive",
        Some("10s"),
        DURATION,
        "Time a caller may take to send a whole request",
    ),
    key(
        "limits",
        "idle",
        Some("60s"),
        DURATION,
        "Idle time after which a connection is closed",
    ),
    key(
        "limits",
        "connections",
        Some("10000"),
        COUNT,
        "Open caller connections",
    ),
    key(
        "log",
        "format",
        Some("human"),
        "human or json",
        "Format of a log record",
    ),
    key(
        "log",
        "level",
        Some("info"),
        "trace, debug, info, warning, error or critical",
        "Least severe level written",
    ),
    key(
        "drain",
        "timeout",
        Some("30m"),
        DURATION,
        "Longest wait for running requests at a graceful stop; longer than the longest generation",
    ),
];

const fn key(
    section: &'static str,
    name: &'static str,
    default: Option<&'static str>,
    allowed: &'static str,
    about: &'static str,
) -> Key {
    Key {
        section,
        name,
        default,
        allowed,
        about,
    }
}
