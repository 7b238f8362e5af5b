//! A proxy in front of an entry's link address, which can cut machines off.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

const CHECK_INTERVAL: Duration = Duration::from_millis(2);
const CHUNK_BYTES: usize = 16 << 10;

/// A machine that is partitioned from all others while `is_on`.
#[derive(Clone, Default)]
pub struct Cut {
    /// Name of the machine's process, as it stands in the first frame of its links.
    pub name: String,
    pub is_on: Arc<AtomicBool>,
}

impl Cut {
    fn wait(&self) {
        while self.is_on.load(Ordering::Relaxed) {
            thread::sleep(CHECK_INTERVAL);
        }
    }
}

/// Forwards connections from `listen` to the entry named `name` at `address`.
///
/// While a cut is on, nothing passes on the links from or to its machine, and neither end learns why.
pub fn serve(listen: &str, name: &str, address: &str, cut: &Cut) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen)?;
    let (name, address, cut) = (name.to_owned(), address.to_owned(), cut.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, address, cut) = (name.clone(), address.clone(), cut.clone());
            thread::spawn(move || forward(stream, &name, &address, &cut));
        }
    });
    Ok(())
}

fn forward(mut dialer: TcpStream, name: &str, address: &str, cut: &Cut) {
    let _ = dialer.set_nodelay(true);
    // The dialer sends its name first.
    let mut first = vec![0; CHUNK_BYTES];
    let Ok(count) = dialer.read(&mut first) else { return };
    let hello = &first[..count];
    let is_from_cut = hello.windows(cut.name.len()).any(|part| part == cut.name.as_bytes());
    let may_be_cut = name == cut.name || is_from_cut;
    if may_be_cut {
        cut.wait();
    }
    let Ok(mut entry) = TcpStream::connect(address) else { return };
    let _ = entry.set_nodelay(true);
    if entry.write_all(hello).is_err() {
        return;
    }
    let (Ok(from_entry), Ok(to_dialer)) = (entry.try_clone(), dialer.try_clone()) else { return };
    let back_cut = cut.clone();
    thread::spawn(move || pass(from_entry, to_dialer, may_be_cut, &back_cut));
    pass(dialer, entry, may_be_cut, cut);
}

/// Passes bytes on in one direction; those that are held up are lost if the other end has closed.
fn pass(mut from: TcpStream, mut to: TcpStream, may_be_cut: bool, cut: &Cut) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = from.read(&mut chunk).unwrap_or(0);
        if may_be_cut {
            cut.wait();
        }
        if count == 0 || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
