//! Laws of merging, over any history of three books that tell each other.

use quickcheck::{Arbitrary, Gen};
use quickcheck_macros::quickcheck;
use wisteriapass_coord::quarantine::{
    Cursor, Fingerprint, Incarnation, Quarantine, QuarantineDelta,
};

use super::{request, target};

/// One step of a history of three books.
#[derive(Clone, Debug)]
enum Step {
    Died {
        book: usize,
        request: u32,
        target: u64,
    },
    RanWhole {
        book: usize,
        request: u32,
    },
    Send {
        from: usize,
        to: usize,
    },
    /// The message that is at this place arrives; it may arrive again.
    Arrive {
        message: usize,
    },
    Wait {
        ms: u64,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut below = |n: u64| u64::arbitrary(g) % n;
        let book = below(3) as usize;
        match below(10) {
            0..=2 => Self::Died {
                book,
                request: below(3) as u32,
                target: below(6),
            },
            3 => Self::RanWhole {
                book,
                request: below(3) as u32,
            },
            4 | 5 => Self::Send {
                from: book,
                to: below(3) as usize,
            },
            6 | 7 => Self::Arrive {
                message: below(20) as usize,
            },
            _ => Self::Wait { ms: below(400) },
        }
    }
}

/// Plays a history; returns the books and the time at its end.
fn play(steps: &[Step]) -> (Vec<Quarantine>, u64) {
    let mut books: Vec<Quarantine> = (1..4).map(Quarantine::new).collect();
    let mut messages: Vec<(usize, QuarantineDelta)> = Vec::new();
    let mut now = 0;
    for step in steps {
        match step {
            Step::Died {
                book,
                request: r,
                target: t,
            } => {
                books[*book].record_death(now, request(*r), target(*t));
            }
            Step::RanWhole { book, request: r } => {
                books[*book].record_completion(now, request(*r));
            }
            Step::Send { from, to } => {
                messages.push((*to, books[*from].delta_since(Cursor::default(), now)));
            }
            Step::Arrive { message } => {
                if let Some((to, news)) = messages.get(*message) {
                    books[*to].merge(now, news);
                }
            }
            Step::Wait { ms } => now += ms,
        }
    }
    (books, now)
}

fn verdicts(book: &Quarantine, now: u64) -> Vec<(usize, bool)> {
    let verdicts = (0..3).map(|n| book.verdict(now, &request(n)));
    verdicts
        .map(|v| (v.deaths(), v.banned_until().is_some()))
        .collect()
}

#[quickcheck]
fn books_that_told_each_other_all_agree_whatever_came_before(steps: Vec<Step>) -> bool {
    let (mut books, now) = play(&steps);
    for _ in 0..2 {
        for (from, to) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
            let news = books[from].delta_since(Cursor::default(), now);
            books[to].merge(now, &news);
        }
    }
    let first = verdicts(&books[0], now);
    books.iter().all(|book| verdicts(book, now) == first)
}

#[quickcheck]
fn merging_is_idempotent_and_its_order_does_not_matter(steps: Vec<Step>) -> bool {
    let (books, now) = play(&steps);
    let news: Vec<QuarantineDelta> = books
        .iter()
        .map(|b| b.delta_since(Cursor::default(), now))
        .collect();
    let merged = |order: &[usize]| {
        let mut book = Quarantine::new(9);
        for n in order {
            book.merge(now, &news[*n]);
        }
        book
    };
    let once = merged(&[0, 1, 2]);
    let mut twice = once.clone();
    let is_same = news.iter().all(|news| !twice.merge(now, news));
    let others = [[2, 1, 0], [1, 0, 2], [2, 0, 1]].map(|order| merged(&order));
    is_same
        && others
            .iter()
            .all(|o| verdicts(o, now) == verdicts(&once, now))
}

#[quickcheck]
fn a_merge_makes_no_death_younger(steps: Vec<Step>, late: u16) -> bool {
    let (books, now) = play(&steps);
    let (mut a, b) = (books[0].clone(), &books[1]);
    let oldest = |book: &Quarantine, at: u64| {
        let told = book.delta_since(Cursor::default(), at).requests;
        let deaths = told.into_iter().flat_map(|t| {
            let of = t.fingerprint;
            t.deaths
                .into_iter()
                .map(move |d| (of, d.incarnation, d.age_ms))
        });
        deaths.collect::<Vec<_>>()
    };
    let later = now + u64::from(late);
    let before = oldest(&a, later);
    a.merge(later, &b.delta_since(Cursor::default(), now));
    let after = oldest(&a, later);
    before.iter().all(|(of, target, age)| {
        let same = |d: &&(Fingerprint, Incarnation, u64)| d.0 == *of && d.1 == *target;
        after.iter().find(same).is_none_or(|d| d.2 >= *age)
    })
}
