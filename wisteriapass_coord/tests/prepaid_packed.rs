//! Encoded share records survive a round trip, are small, and never cause a panic.

use quickcheck_macros::quickcheck;
use wisteriapass_coord::prepaid::{
    DomainId, HolderEntry, HolderId, NamedWitnesses, Opening, Share, ShareRecord, Stamp,
    UnpackError,
};

fn entry(n: u64) -> HolderEntry {
    HolderEntry {
        process: n.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        write: n,
        stamp: Stamp {
            since_boot: n * 1_000,
            time_of_day: 1_776_815_349_000 + n,
        },
        agreed: n.is_multiple_of(2),
        lends_at: "10.0.0.1:8421".parse().ok(),
        witnesses: Default::default(),
        domain: DomainId::default(),
        followers: 0,
        is_strong: false,
        opening: Opening::default(),
    }
}

fn record(accounts: u64, holders: u64) -> ShareRecord {
    let mut record = ShareRecord::default();
    for h in 0..holders {
        let id = HolderId(format!("router-of-a-region-{h}"));
        record.set_holder_entry(&id, entry(h));
        for a in 0..accounts {
            let share = Share {
                granted: 300_000 + a * h,
                used: 200_000 + a,
                sealed: 70_000,
                lost: 0,
                wish: 40_000 * (h % 2),
            };
            record.set_share(&format!("account-{a}"), &id, share);
        }
    }
    record
}

#[test]
fn a_record_of_many_routers_is_small() {
    let bytes = record(24, 27).to_bytes().len();
    assert!(bytes < 12_000, "{bytes} bytes");
}

#[test]
fn a_json_record_is_read() {
    let record = record(3, 4);
    let json = serde_json::to_vec(&record).unwrap();
    assert_eq!(ShareRecord::from_bytes(&json), Ok(record));
}

#[test]
fn an_unknown_format_is_reported() {
    assert_eq!(
        ShareRecord::from_bytes(&[200, 1]),
        Err(UnpackError::UnknownFormat)
    );
    assert!(matches!(
        ShareRecord::from_bytes(&[]),
        Err(UnpackError::Damaged { .. })
    ));
}

#[quickcheck]
fn a_record_survives_a_round_trip(accounts: u8, holders: u8) -> bool {
    let record = record(u64::from(accounts % 8), u64::from(holders % 8));
    // Shares of a holder without an entry are not encoded.
    let read = ShareRecord::from_bytes(&record.to_bytes());
    read.is_ok_and(|read| read == record)
}

#[quickcheck]
fn corrupted_bytes_round_trip_or_return_an_error(place: usize, value: u8, cut: usize) -> bool {
    let mut bytes = record(3, 3).to_bytes();
    let last = bytes.len();
    bytes[place % last] = value;
    bytes.truncate(cut % (last + 1));
    match ShareRecord::from_bytes(&bytes) {
        // Whatever can be decoded can be encoded.
        Ok(read) => ShareRecord::from_bytes(&read.to_bytes()) == Ok(read),
        Err(e) => !e.to_string().is_empty(),
    }
}

/// A holder entry of the format without witnesses.
#[derive(serde::Serialize)]
struct EntryV1 {
    process: u64,
    write: u64,
    stamp: Stamp,
    agreed: bool,
    lends_at: Option<std::net::SocketAddr>,
}

/// A holder entry of the format without failure domains.
#[derive(serde::Serialize)]
struct EntryV2 {
    before: EntryV1,
    witnesses: NamedWitnesses,
}

/// A holder entry of the format without the time over which sealed parts open.
#[derive(serde::Serialize)]
struct EntryV3 {
    before: EntryV2,
    domain: DomainId,
    followers: u32,
    is_strong: bool,
}

/// A holder entry of the format without the start of the opening.
#[derive(serde::Serialize)]
struct EntryV4 {
    before: EntryV3,
    unseal_ms: u64,
}

fn entry_v1(entry: &HolderEntry) -> EntryV1 {
    EntryV1 {
        process: entry.process,
        write: entry.write,
        stamp: entry.stamp,
        agreed: entry.agreed,
        lends_at: entry.lends_at,
    }
}

fn entry_v2(entry: &HolderEntry) -> EntryV2 {
    EntryV2 {
        before: entry_v1(entry),
        witnesses: entry.witnesses,
    }
}

fn entry_v3(entry: &HolderEntry) -> EntryV3 {
    EntryV3 {
        before: entry_v2(entry),
        domain: entry.domain,
        followers: entry.followers,
        is_strong: entry.is_strong,
    }
}

/// Encodes a record of three holders and two accounts in an earlier format.
fn encode_earlier<T: serde::Serialize>(
    record: &ShareRecord,
    format: u8,
    convert: impl Fn(&HolderEntry) -> T,
) -> Vec<u8> {
    let entries = record.holder_entries();
    let holders: Vec<(HolderId, T)> = entries.map(|(id, t)| (id.clone(), convert(t))).collect();
    let shares = |account: &str| -> Vec<Share> {
        let ids = record.holder_entries().map(|(id, _)| id);
        ids.map(|id| record.share(account, id)).collect()
    };
    let accounts: Vec<(&str, Vec<Share>)> = ["account-0", "account-1"]
        .iter()
        .map(|name| (*name, shares(name)))
        .collect();
    postcard::to_extend(&(holders, accounts), vec![format]).unwrap()
}

#[test]
fn packed_records_of_earlier_versions_are_read() {
    let record = record(2, 3);
    let first = encode_earlier(&record, 1, entry_v1);
    assert_eq!(ShareRecord::from_bytes(&first), Ok(record.clone()));
    let second = encode_earlier(&record, 2, entry_v2);
    assert_eq!(ShareRecord::from_bytes(&second), Ok(record.clone()));
    let third = encode_earlier(&record, 3, entry_v3);
    assert_eq!(ShareRecord::from_bytes(&third), Ok(record));
}

/// Guards against a successor that computes with its own schedule, and takes for unspent what a
/// predecessor of the last release had already opened.
#[test]
fn the_schedule_of_a_process_of_the_last_release_is_read() {
    let record = record(2, 3);
    let fourth = encode_earlier(&record, 4, |entry| EntryV4 {
        before: entry_v3(entry),
        unseal_ms: 8_000,
    });
    let read = ShareRecord::from_bytes(&fourth).unwrap();
    let expected = Opening {
        start_ms: 2_200,
        duration_ms: 8_000,
        initial_permille: 0,
    };
    let mut openings = read.holder_entries().map(|(_, entry)| entry.opening);
    assert!(openings.all(|opening| opening == expected));
}

#[quickcheck]
fn a_recorded_schedule_survives_a_round_trip(start: u16, duration: u16, initial: u16) -> bool {
    let mut record = record(2, 3);
    let id = record.holder_entries().next().unwrap().0.clone();
    let opening = Opening {
        start_ms: start.into(),
        duration_ms: duration.into(),
        initial_permille: initial.into(),
    };
    let entry = HolderEntry {
        opening,
        ..entry(7)
    };
    record.set_holder_entry(&id, entry);
    ShareRecord::from_bytes(&record.to_bytes()) == Ok(record)
}
