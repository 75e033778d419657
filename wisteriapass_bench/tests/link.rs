//! Tests of links and their faults on real connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use wisteriapass_bench::link::{Direction, Link, LinkFaults, Network};

/// Timeout for a byte that should arrive.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for a byte that should not arrive.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts a server that sends back each received byte.
fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || std::io::copy(&mut &stream, &mut &stream));
        }
    });
    addr
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

fn is_echoed(stream: &mut TcpStream, byte: u8, timeout: Duration) -> bool {
    stream.set_read_timeout(Some(timeout)).unwrap();
    if stream.write_all(&[byte]).is_err() {
        return false;
    }
    let mut buf = [0];
    matches!(stream.read(&mut buf), Ok(1)) && buf[0] == byte
}

#[test]
fn without_faults_bytes_are_delivered() {
    let link = Link::start(echo_server()).unwrap();
    assert!(is_echoed(&mut connect(link.addr()), 1, TIMEOUT));
}

#[test]
fn a_blackhole_holds_bytes_until_it_heals() {
    let link = Link::start(echo_server()).unwrap();
    let mut open = connect(link.addr());
    assert!(is_echoed(&mut open, 1, TIMEOUT));
    link.set_faults(LinkFaults::blackhole());
    assert!(!is_echoed(&mut open, 2, SHORT_TIMEOUT));
    assert!(!is_echoed(&mut connect(link.addr()), 3, SHORT_TIMEOUT));
    link.heal();
    open.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut buf = [0];
    open.read_exact(&mut buf).unwrap();
    assert_eq!(buf, [2]);
}

#[test]
fn a_closed_cut_closes_open_and_new_connections() {
    let link = Link::start(echo_server()).unwrap();
    let mut open = connect(link.addr());
    assert!(is_echoed(&mut open, 1, TIMEOUT));
    link.set_faults(LinkFaults::closed());
    assert!(!is_echoed(&mut open, 2, TIMEOUT));
    assert!(!is_echoed(&mut connect(link.addr()), 3, TIMEOUT));
    link.heal();
    assert!(is_echoed(&mut connect(link.addr()), 4, TIMEOUT));
}

#[test]
fn open_connections_are_blackholed_permanently_while_new_ones_work() {
    let link = Link::start(echo_server()).unwrap();
    let mut open = connect(link.addr());
    assert!(is_echoed(&mut open, 1, TIMEOUT));
    link.blackhole_open_connections();
    assert!(is_echoed(&mut connect(link.addr()), 2, TIMEOUT));
    link.heal();
    assert!(!is_echoed(&mut open, 3, SHORT_TIMEOUT));
}

#[test]
fn a_one_way_drop_delivers_the_other_direction() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let link = Link::start(listener.local_addr().unwrap()).unwrap();
    let mut client = connect(link.addr());
    let (mut server, _) = listener.accept().unwrap();
    server.set_read_timeout(Some(SHORT_TIMEOUT)).unwrap();
    link.set_faults(LinkFaults::one_way_drop(Direction::ToServer));
    client.write_all(&[1]).unwrap();
    server.write_all(&[2]).unwrap();
    let mut buf = [0];
    client.read_exact(&mut buf).unwrap();
    assert_eq!(buf, [2]);
    server.read_exact(&mut buf).unwrap_err();
    link.heal();
    server.set_read_timeout(Some(TIMEOUT)).unwrap();
    server.read_exact(&mut buf).unwrap();
    assert_eq!(buf, [1]);
}

#[test]
fn a_delayed_byte_is_delivered() {
    let link = Link::start(echo_server()).unwrap();
    link.set_faults(LinkFaults::delayed(20));
    assert!(is_echoed(&mut connect(link.addr()), 1, TIMEOUT));
}

/// A separate process that sends one request to a server, prints the answer and ends.
struct Client(Child);

impl Client {
    fn start(network: &Network, name: &str, addr: SocketAddr) -> Self {
        let script = format!(
            "exec 3<>/dev/tcp/{}/{}; read -r; echo x >&3; read -r answer <&3; echo $answer",
            addr.ip(),
            addr.port()
        );
        let child = Command::new("bash")
            .args(["-c", &script])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        network.process_names().insert(child.id(), name);
        Self(child)
    }

    /// Lets the process connect and send, now that it has a name in the network.
    fn send(&mut self) {
        let mut stdin = self.0.stdin.take().unwrap();
        stdin.write_all(b"go\n").unwrap();
    }

    fn is_running_after_delay(&mut self) -> bool {
        std::thread::sleep(SHORT_TIMEOUT);
        self.0.try_wait().unwrap().is_none()
    }

    fn answer(&mut self) -> String {
        let mut text = String::new();
        let mut stdout = self.0.stdout.take().unwrap();
        stdout.read_to_string(&mut text).unwrap();
        text.trim().to_owned()
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.0.kill().ok();
        self.0.wait().ok();
    }
}

#[test]
fn a_network_cuts_one_pair_of_processes() {
    let network = Network::new();
    let addr = network.add_link("server", echo_server()).unwrap();
    network.cut("a", "server");
    let mut a = Client::start(&network, "a", addr);
    let mut b = Client::start(&network, "b", addr);
    a.send();
    b.send();
    assert_eq!(b.answer(), "x");
    assert!(is_echoed(&mut connect(addr), 1, TIMEOUT));
    assert!(a.is_running_after_delay());
    network.heal_all();
    assert_eq!(a.answer(), "x");
}
