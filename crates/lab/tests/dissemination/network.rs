//! The network in virtual time.

use balsamjunction_lab::experiment::dissemination::network::{LinkSpec, Network, Sharing};
use balsamjunction_policy::Moment;

fn ms(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

/// Two hosts in one region and one in another; 1,500 bytes take 1 ms on a host's link and 2 ms between regions.
fn network(sharing: Sharing) -> Network<&'static str> {
    let spec = LinkSpec {
        host_rate: 12_000_000,
        region_rate: 6_000_000,
        latency: ms(2),
        sharing,
    };
    Network::new(&spec, 2, vec![0, 0, 1])
}

fn arrivals(network: &mut Network<&'static str>) -> Vec<(Moment, &'static str)> {
    std::iter::from_fn(|| network.next_event()).collect()
}

#[test]
fn a_message_takes_its_time_on_each_link_and_the_latency() {
    let mut network = network(Sharing::Fair);

    network.send(0, 1, 1_500, "local");
    network.send(1, 2, 1_500, "remote");

    assert_eq!(
        arrivals(&mut network),
        [(ms(4), "local"), (ms(6), "remote")]
    );
    assert_eq!(network.bytes_between(0, 1), 1_500);
    assert_eq!(network.bytes_between(1, 0), 0);
}

#[test]
fn packets_of_a_message_pass_links_at_the_same_time() {
    let mut network = network(Sharing::Fair);

    network.send(0, 1, 15_000, "large");

    assert_eq!(arrivals(&mut network), [(ms(13), "large")]);
}

#[test]
fn a_small_message_waits_for_the_large_one_before_it_only_in_order() {
    let arrival = |sharing| {
        let mut network = network(sharing);
        network.send(0, 1, 15_000, "large");
        network.send(0, 1, 1_500, "small");
        arrivals(&mut network)
    };

    // It waits for the packet under way and for the one whose turn it is.
    assert_eq!(
        arrival(Sharing::Fair),
        [(ms(6), "small"), (ms(14), "large")]
    );
    assert_eq!(
        arrival(Sharing::InOrder),
        [(ms(13), "large"), (ms(14), "small")]
    );
}

#[test]
fn what_is_given_up_is_not_sent_and_never_arrives() {
    let mut network = network(Sharing::Fair);
    let large = network.send(0, 1, 150_000, "large");
    network.set_timer(ms(10), "timer");
    assert_eq!(network.next_event(), Some((ms(10), "timer")));

    network.give_up(large);

    assert_eq!(network.next_event(), None);
    assert!(network.bytes_from(0) <= 11 * 1_500);
}
