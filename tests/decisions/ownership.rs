//! Tests that at most one incarnation runs each slot and birth time, in a model of the fleet in
//! which messages are lost, the log is read late, daemons pause and restart.

use std::collections::HashMap;

use marigoldhatch::decisions::ownership::max_acknowledgeable_ms;
use marigoldhatch::decisions::ownership::plan_epoch;
use marigoldhatch::decisions::ownership::AckBounds;
use marigoldhatch::decisions::ownership::OwnerClaim;
use marigoldhatch::decisions::ownership::OwnershipLedger;
use marigoldhatch::decisions::ownership::PlanInput;
use marigoldhatch::decisions::ownership::WitnessLedger;
use marigoldhatch::decisions::ownership::ACK_LEAD_MS;
use marigoldhatch::decisions::ownership::SLOT_COUNT;
use marigoldhatch::wire::MemberRecord;
use marigoldhatch::wire::OwnershipEpoch;
use proptest::prelude::*;
use uuid::Uuid;

const SCOPE: &str = "filing";
const VMS: usize = 4;
/// Few slots and birth times, so that several daemons try the same ones.
const SLOTS: u32 = 2;
const BIRTH_STEP_MS: u64 = 500;

/// Daemon of the model with its local state.
struct ModelDaemon {
    record: MemberRecord,
    ledger: OwnershipLedger,
    witness: WitnessLedger,
    acks: AckBounds,
    read: usize,
    started_ms: u64,
}

#[derive(Debug, Clone)]
enum OwnershipStep {
    /// A daemon reads up to `records` records of the log.
    Read {
        vm: usize,
        records: usize,
    },
    /// A daemon requests acknowledgements from the reachable witnesses.
    Renew {
        vm: usize,
        reach: u8,
    },
    /// A daemon closes its newest known epoch at the reachable witnesses and proposes the next.
    Propose {
        vm: usize,
        reach: u8,
        owners: u8,
    },
    /// A daemon that received a request runs it if it owns its slot and birth time.
    Run {
        vm: usize,
        slot: u32,
        ahead_ms: i64,
    },
    /// The daemon of a VM crashes and a new incarnation starts without state.
    Restart {
        vm: usize,
    },
    Advance {
        ms: u64,
    },
}

/// Generates a bit set of the witnesses that a daemon reaches: all of them in half of the cases.
fn reach() -> impl Strategy<Value = u8> {
    prop_oneof![Just(0xff), any::<u8>()]
}

fn step() -> impl Strategy<Value = OwnershipStep> {
    let vm = 0..VMS;
    prop_oneof![
        6 => (vm.clone(), 1_usize..6).prop_map(|(vm, records)| OwnershipStep::Read { vm, records }),
        6 => (vm.clone(), reach()).prop_map(|(vm, reach)| OwnershipStep::Renew { vm, reach }),
        2 => (vm.clone(), reach(), any::<u8>())
            .prop_map(|(vm, reach, owners)| OwnershipStep::Propose { vm, reach, owners }),
        12 => (vm.clone(), 0..SLOTS, -4_000_i64..6_000)
            .prop_map(|(vm, slot, ahead_ms)| OwnershipStep::Run { vm, slot, ahead_ms }),
        1 => vm.prop_map(|vm| OwnershipStep::Restart { vm }),
        3 => (1_u64..1_500).prop_map(|ms| OwnershipStep::Advance { ms }),
    ]
}

struct OwnershipModel {
    now_ms: u64,
    next_id: u128,
    daemons: Vec<ModelDaemon>,
    log: Vec<OwnershipEpoch>,
    runs: HashMap<(u32, u64), Uuid>,
}

impl OwnershipModel {
    fn new() -> Self {
        let mut model = Self {
            now_ms: 10_000_000,
            next_id: 0,
            daemons: Vec::new(),
            log: Vec::new(),
            runs: HashMap::new(),
        };
        for vm in 0..VMS {
            let daemon = model.new_daemon(vm);
            model.daemons.push(daemon);
        }
        model
    }

    fn new_daemon(&mut self, vm: usize) -> ModelDaemon {
        self.next_id += 1;
        ModelDaemon {
            record: MemberRecord {
                incarnation: Uuid::from_u128(self.next_id),
                vm: format!("vm-{vm}"),
                failure_domain: format!("domain-{}", vm % 3),
                region: "r".to_string(),
                traffic_address: String::new(),
                peer_address: String::new(),
                service: SCOPE.to_string(),
                slots: 1,
                draining: false,
                stopping: false,
                revision: 0,
            },
            ledger: OwnershipLedger::from_first_offset(0),
            witness: WitnessLedger::default(),
            acks: AckBounds::default(),
            read: 0,
            started_ms: self.now_ms,
        }
    }

    fn read(&mut self, vm: usize, records: usize) {
        let daemon = &mut self.daemons[vm];
        for epoch in self.log.iter().skip(daemon.read).take(records) {
            daemon.ledger.apply(0, epoch);
            daemon.read += 1;
        }
    }

    fn renew(&mut self, vm: usize, reach: u8) {
        let Some(epoch) = self.newest(vm) else {
            return;
        };
        let bound_ms = self.now_ms + ACK_LEAD_MS;
        for (index, witness) in epoch.witnesses.iter().enumerate() {
            if reach & (1 << index) == 0 {
                continue;
            }
            let now_ms = self.now_ms;
            let Some(peer) = self
                .daemons
                .iter_mut()
                .find(|one| one.record.incarnation == *witness)
            else {
                continue;
            };
            let acknowledged = peer.witness.acknowledge(
                *witness,
                &peer.ledger,
                SCOPE,
                epoch.number,
                bound_ms,
                now_ms,
            );
            // The response is lost if another bit is unset.
            if acknowledged && reach & (1 << ((index + 3) % 8)) != 0 {
                self.daemons[vm].acks.record_acknowledgement(
                    SCOPE,
                    epoch.number,
                    *witness,
                    bound_ms,
                );
            }
        }
    }

    fn newest(&self, vm: usize) -> Option<OwnershipEpoch> {
        let chain = self.daemons[vm].ledger.chain(SCOPE)?;
        Some(chain.newest().clone())
    }

    fn propose(&mut self, vm: usize, reach: u8, owners: u8) {
        let current = self.newest(vm);
        let fleet: Vec<&MemberRecord> = self.daemons.iter().map(|one| &one.record).collect();
        let chosen: Vec<&MemberRecord> = fleet
            .iter()
            .enumerate()
            .filter(|(index, _)| owners & (1 << index) != 0)
            .map(|(_, record)| *record)
            .collect();
        let plan = plan_epoch(&PlanInput {
            scope: SCOPE,
            current: current.as_ref(),
            owners: &chosen,
            fleet: &fleet,
            now_ms: self.now_ms,
            max_log_outage_ms: 3_600_000,
        });
        let Some(plan) = plan else {
            return;
        };
        let start_ms = match &current {
            None => 0,
            Some(current) => match self.close(current, reach) {
                Some(start_ms) => start_ms,
                None => return,
            },
        };
        self.next_id += 1;
        self.log.push(OwnershipEpoch {
            change_id: Uuid::from_u128(self.next_id),
            scope: SCOPE.to_string(),
            number: plan.number,
            start_ms,
            until_ms: plan.until_ms,
            witnesses: plan.witnesses,
            witness_vms: plan.witness_vms,
            owners: plan.owners,
            slots: plan.slots,
            restated: false,
        });
    }

    /// Closes an epoch as the daemons do: a witness responds, or a later daemon on its VM for it.
    fn close(&mut self, current: &OwnershipEpoch, reach: u8) -> Option<u64> {
        let mut bounds = Vec::new();
        for (index, (witness, vm)) in current
            .witnesses
            .iter()
            .zip(&current.witness_vms)
            .enumerate()
        {
            if reach & (1 << index) == 0 {
                continue;
            }
            let daemon = self.daemons.iter_mut().find(|one| one.record.vm == *vm)?;
            if daemon.record.incarnation == *witness {
                bounds.extend(daemon.witness.close(
                    *witness,
                    &daemon.ledger,
                    SCOPE,
                    current.number,
                ));
            } else {
                bounds.push(max_acknowledgeable_ms(daemon.started_ms));
            }
        }
        if bounds.len() <= current.witnesses.len() / 2 {
            return None;
        }
        Some(bounds.into_iter().max()?.max(current.start_ms + 1))
    }

    fn run(&mut self, vm: usize, slot: u32, ahead_ms: i64) -> Result<(), TestCaseError> {
        let birth_ms = (self.now_ms as i64 + ahead_ms) as u64 / BIRTH_STEP_MS * BIRTH_STEP_MS;
        let daemon = &self.daemons[vm];
        let Some(chain) = daemon.ledger.chain(SCOPE) else {
            return Ok(());
        };
        let own = daemon.record.incarnation;
        if daemon.acks.claim(own, chain, slot % SLOT_COUNT, birth_ms) != OwnerClaim::Owned {
            return Ok(());
        }
        let runner = *self.runs.entry((slot, birth_ms)).or_insert(own);
        prop_assert_eq!(
            runner,
            own,
            "two incarnations ran slot {} at birth time {}",
            slot,
            birth_ms
        );
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(8_000))]

    #[test]
    fn no_two_incarnations_run_the_same_slot_and_birth_time(
        steps in prop::collection::vec(step(), 1..300),
    ) {
        let mut model = OwnershipModel::new();
        for step in steps {
            match step {
                OwnershipStep::Read { vm, records } => model.read(vm, records),
                OwnershipStep::Renew { vm, reach } => model.renew(vm, reach),
                OwnershipStep::Propose { vm, reach, owners } => model.propose(vm, reach, owners),
                OwnershipStep::Run { vm, slot, ahead_ms } => model.run(vm, slot, ahead_ms)?,
                OwnershipStep::Restart { vm } => {
                    let daemon = model.new_daemon(vm);
                    model.daemons[vm] = daemon;
                }
                OwnershipStep::Advance { ms } => model.now_ms += ms,
            }
        }
    }
}

/// Guards the property test against passing because the model never runs a request.
#[test]
fn model_runs_requests_in_several_epochs() {
    let mut model = OwnershipModel::new();
    for (round, owners) in [0b0011_u8, 0b1100, 0b1001].into_iter().enumerate() {
        model.propose(0, 0xff, owners);
        for vm in 0..VMS {
            model.read(vm, 8);
            model.renew(vm, 0xff);
        }
        model.now_ms += 4_000;
        (0..VMS).for_each(|vm| model.renew(vm, 0xff));
        for vm in 0..VMS {
            for slot in 0..SLOT_COUNT {
                model
                    .run(vm, slot, 100)
                    .expect("only one incarnation runs the slot");
            }
        }
        assert_eq!(model.runs.len(), SLOT_COUNT as usize * (round + 1));
    }
}

#[test]
fn plan_moves_only_the_slots_of_the_removed_owner() {
    let mut model = OwnershipModel::new();
    model.propose(0, 0xff, 0b0111);
    let first = model.log[0].clone();
    (0..VMS).for_each(|vm| model.read(vm, 1));
    model.propose(0, 0xff, 0b0011);
    let second = model.log[1].clone();
    let owner = |epoch: &OwnershipEpoch, slot: usize| epoch.owners[epoch.slots[slot] as usize];
    for slot in 0..SLOT_COUNT as usize {
        if second.owners.contains(&owner(&first, slot)) {
            assert_eq!(
                owner(&first, slot),
                owner(&second, slot),
                "slot {slot} moved"
            );
        }
    }
}
