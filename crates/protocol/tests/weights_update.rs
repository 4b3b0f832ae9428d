//! What a stager keeps of the settings that it knows when it receives others.

use balsamjunction_protocol::mesh::WeightsUpdate;

fn update(configuration: u64, origin: &str) -> WeightsUpdate {
    WeightsUpdate {
        configuration,
        origin: Some(origin.into()),
        service_models: vec![("deck-model".into(), origin.into())],
        ..WeightsUpdate::default()
    }
}

// Guards against a stager that reads a restored store itself and goes back to the models of an older configuration.
#[test]
fn settings_of_an_earlier_configuration_do_not_replace_those_of_a_later_one() {
    let known = update(13, "later");
    let (mut earlier, mut later) = (update(10, "earlier"), update(16, "latest"));
    let mut untold = update(0, "untold");

    earlier.keep_later_services(&known);
    later.keep_later_services(&known);
    untold.keep_later_services(&known);

    assert_eq!(earlier, known);
    assert_eq!(later.origin.as_deref(), Some("latest"));
    assert_eq!(untold.origin.as_deref(), Some("untold"));
}
