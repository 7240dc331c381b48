//! Tests of the lifecycle as a table of events and phases.

use fleet::{Life, LifeEvent, Phase};

#[test]
fn events_lead_through_the_phases_in_order() {
    use {
        LifeEvent::{BalancerLagOver, Configured, DrainOver, Idle, PeersTold, Stop},
        Phase::{Departing, Finishing, GivingUp, Leaving, Ready, Starting, Stopped},
    };
    let cases: [(&str, &[(LifeEvent, Phase)]); 4] = [
        (
            "graceful",
            &[
                (Idle, Starting),
                (Configured, Ready),
                (Idle, Ready),
                (Stop, Leaving),
                (Idle, Leaving),
                (DrainOver, Leaving),
                (BalancerLagOver, Finishing),
                (Configured, Finishing),
                (Idle, Departing),
                (Stop, Departing),
                (PeersTold, Stopped),
                (Configured, Stopped),
            ],
        ),
        (
            "maximum drain time",
            &[
                (Configured, Ready),
                (Stop, Leaving),
                (BalancerLagOver, Finishing),
                (DrainOver, GivingUp),
                (Idle, Departing),
            ],
        ),
        ("never ready", &[(Stop, Finishing), (Idle, Departing)]),
        (
            "repeated event",
            &[(Configured, Ready), (Configured, Ready)],
        ),
    ];
    for (what, steps) in cases {
        let mut life = Life::default();
        assert_eq!(life.phase(), Starting);
        for (event, phase) in steps {
            assert_eq!(life.on_event(*event), *phase, "{what}: {event:?}");
        }
    }
}
