//! Connections whose peer's host is gone.

use std::time::Duration;

use reelreel_http::set_dead_peer_timeout;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

/// Where `TCP_USER_TIMEOUT` is set, it decides when unanswered probes end a connection, whatever
/// their number. Guards against timeouts so short that a single lost probe ends one.
#[test]
fn at_least_two_probes_are_lost_before_a_connection_ends() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        for millis in [2500, 4000, 9000] {
            let timeout = Duration::from_millis(millis);
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
            let address = listener.local_addr().expect("an address");
            let stream = TcpStream::connect(address).await.expect("a connection");
            set_dead_peer_timeout(&stream, timeout).expect("the options are set");
            let socket = SockRef::from(&stream);
            assert!(socket.keepalive().expect("the option is read"), "{timeout:?}");
            let first = socket.tcp_keepalive_time().expect("the option is read");
            let next = socket.tcp_keepalive_interval().expect("the option is read");
            let user_timeout = socket.tcp_user_timeout().expect("the option is read");
            assert_eq!(user_timeout, Some(timeout));
            assert!(first + next <= timeout, "{timeout:?}: probes after {first:?} and {next:?}");
        }
    });
}
