//! One txn's life, from its reading to its answer and to the end of its run.

use crate::clock;
use crate::desk::Offer;
use crate::life::House;
use crate::memory::book::Page;
use crate::memory::hands::{Name, Slip, Word};
use crate::memory::keys::{Key, Print};
use crate::wire::gateway::Connection;
use crate::wire::resp::{self, Array};
use crate::wire::store::Call;
use puffinladder::{Idempotency, Outcome, Reason, Request};
use puffinladder_charter::Terms;
use puffinladder_trace::row::Step;
use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// KB under which a held txn's memory stays, by the protocol.
const MEMORY: f64 = 2000.0;
/// Times of its product's expiry that a txn may claim as its core time; more can't be meant.
const HINT: f64 = 10.0;

/// A txn as it was read.
pub struct Read {
    pub name: Name,
    pub key: Option<Key>,
    /// Of product and body, for what has a key.
    pub print: Print,
    /// When it came to the machine, by the Unix clock.
    pub stamp: f64,
    pub news: Request,
    pub body: Vec<u8>,
}

impl Read {
    /// Decodes `CALL tag class fields body`.
    pub fn new(terms: &Terms, array: &Array, prints: &RandomState) -> Result<Read, &'static str> {
        let word = |place| std::str::from_utf8(array.at(place)).unwrap_or_default();
        let class = word(2);
        let product = terms.products.iter().position(|name| name == class).ok_or("an unknown class")?;
        let fields = resp::fields(array.at(3), b"isftrhmpk").ok_or("a field without a value")?;
        let [name, stamp, caller, customer, repeat, hint, memory, rank, key] = fields;
        let hex = |text: &[u8]| text.iter().all(u8::is_ascii_hexdigit);
        let number = |text: &[u8], fault| match text {
            b"" => Ok(0.0),
            _ => resp::fraction(text).ok_or(fault),
        };
        let name: Name = name.try_into().ok().filter(|n: &Name| hex(n)).ok_or("a wrong field i")?;
        let key = match terms.charter.classes[product].idempotency {
            Idempotency::Keyed => {
                Some(key.try_into().ok().filter(|k: &Key| hex(k)).ok_or("a wrong field k")?)
            }
            _ => None,
        };
        let known = |known: &String| known.as_bytes() == customer;
        let customer = match terms.customers.iter().position(known) {
            Some(place) => place,
            None if terms.customers.is_empty() => 0,
            None => return Err("an unknown tenant"),
        };
        let memory = number(memory, "a wrong field m")?;
        let rank = number(rank, "a wrong field p")?;
        let hint = number(hint, "a wrong field h")? / 1e3;
        let caller = if caller.is_empty() { Some(0) } else { resp::decimal(caller) };
        let caller = caller.and_then(|caller| u32::try_from(caller).ok()).ok_or("a wrong field f")?;
        // The module adds these up: one absurd figure would turn all others away.
        if memory >= MEMORY || rank >= 1.0 || hint > HINT * terms.charter.classes[product].timeout {
            return Err("a field h, m or p out of range");
        }
        let news = Request {
            class: product,
            tenant: customer,
            cost_hint: hint,
            memory,
            rank,
            caller,
            is_retry: repeat == b"1",
            ..Request::default()
        };
        let stamp = resp::decimal(stamp).ok_or("a wrong field s")? as f64 / 1e3;
        let body = array.at(4).to_vec();
        let print = key.map_or(0, |_| prints.hash_one((product, &body)));
        Ok(Read { name, key, print, stamp, news, body })
    }
}

/// Owes a txn its one answer. What ends without one, a panic too, is answered as voided.
struct Answer<'a> {
    house: &'a House,
    connection: &'a Connection,
    tag: u64,
    owed: bool,
    page: Page<'a>,
}

impl Answer<'_> {
    fn give(&mut self, word: &str, fields: &[u8], body: &[u8], step: Step) {
        if std::mem::take(&mut self.owed) {
            self.page.step(step);
            let mut all = Vec::with_capacity(48);
            self.house.desk.put_signal(&mut all);
            if !all.is_empty() && !fields.is_empty() {
                all.push(b',');
            }
            all.extend_from_slice(fields);
            self.connection.answer(self.house, self.tag, word, &all, body);
            self.house.tally.count(word);
        }
    }
    fn settle(&mut self, result: &[u8]) {
        let step = self.page.settled();
        self.give("200", &[], result, step);
    }
    fn decline(&mut self, retry_after: f64, last: bool, reason: Reason) {
        self.page.keep_off(retry_after, last);
        let mut fields = Vec::with_capacity(24);
        if retry_after > 0.0 {
            fields.extend_from_slice(b"w=");
            resp::put_decimal(&mut fields, (retry_after * 1e3).ceil() as u64);
        }
        if last {
            fields.extend_from_slice(if fields.is_empty() { b"l=1" } else { b",l=1" });
        }
        self.give("503", &fields, &[], Step::declined(reason));
    }
    fn void(&mut self, reason: Reason) {
        self.give("500", &[], &[], Step::voided(reason));
    }
}

impl Drop for Answer<'_> {
    fn drop(&mut self) {
        self.void(Reason::HandlerLost);
    }
}

/// A txn's place in the module's hands: whatever happens here, the module hears of its end, and a key does
/// not stay open for ever.
struct Place<'a> {
    house: &'a House,
    key: Option<Key>,
    id: u32,
    left: bool,
}

impl Place<'_> {
    fn leave(&mut self, outcome: Outcome, took: f64) {
        if !std::mem::replace(&mut self.left, true) {
            self.house.desk.ended(self.id, outcome, took);
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if !self.left {
            self.house.desk.ran(self.key.as_ref(), self.id, None);
            self.leave(Outcome::Failed, 0.0);
        }
    }
}

/// How many coroutines live with a txn.
#[derive(Default)]
pub struct Living(AtomicUsize);

impl Living {
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// One of them.
struct Life(Arc<House>);

impl Life {
    /// None where the process has no room for one more.
    fn begin(house: &Arc<House>) -> Option<Life> {
        let life = Life(house.clone());
        (house.living.0.fetch_add(1, Ordering::Relaxed) < house.limits.txns).then_some(life)
    }
}

impl Drop for Life {
    fn drop(&mut self) {
        self.0.living.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Gives a txn its coroutine. A process with no room for one more says so at once.
pub fn begin(house: &Arc<House>, read: Read, slip: Arc<Slip>, connection: Arc<Connection>, tag: u64) {
    let Some(life) = Life::begin(house) else {
        let page = house.desk.book.page(&read, &house.warrant.terms);
        Answer { house, connection: &connection, tag, owed: true, page }.decline(
            0.0,
            false,
            Reason::ProcessAtCapacity,
        );
        return;
    };
    may::go!(move || live(&life.0, read, slip, &connection, tag));
}

/// What the agent was last told of a run and has shown no effect of yet.
#[derive(Clone, Copy)]
enum Told {
    Nothing,
    Launch,
    Freeze,
    Thaw,
    Deliver,
    Forgo,
}

/// The call at which a run stands: the notice that asked for it, its body and then its reply.
#[derive(Default)]
struct Asked {
    notice: u64,
    body: Vec<u8>,
    reply: Vec<u8>,
    tries: u32,
}

/// Tells the agent, and gives the stamp under which it went out.
fn tell(house: &House, told: Told, read: &Read, asked: &Asked) -> u64 {
    match told {
        Told::Nothing => 0,
        Told::Launch => {
            house.agent.launch(&read.name, &house.warrant.terms.products[read.news.class], &read.body)
        }
        Told::Freeze => house.agent.freeze(&read.name),
        Told::Thaw => house.agent.thaw(&read.name),
        Told::Deliver => house.agent.deliver(&read.name, &asked.reply),
        Told::Forgo => house.agent.forgo(&read.name, asked.notice),
    }
}

fn live(house: &Arc<House>, read: Read, mut slip: Arc<Slip>, connection: &Connection, tag: u64) {
    let page = house.desk.book.page(&read, &house.warrant.terms);
    let mut answer = Answer { house, connection, tag, owed: true, page };
    let key = read.key.as_ref();
    // Offered to the module once; again only if it waited for another that then never ran.
    loop {
        let now = house.clock.now();
        let arrived = now - clock::age(read.stamp);
        let id = match house.desk.offer(&read, arrived, &slip, now + house.limits.doubt) {
            Offer::Taken(id) => id,
            Offer::Named => {
                house
                    .tally
                    .complain(house, format_args!("txn: tag {tag} voided: its name is in hand already"));
                return answer.void(Reason::DuplicateName);
            }
            Offer::Other => {
                house.tally.complain(house, format_args!("txn: tag {tag} voided: its key is another's"));
                return answer.void(Reason::KeyConflict);
            }
            Offer::Full => return answer.decline(0.0, false, Reason::KeyMemoryFull),
            Offer::Doubtful => {
                tracing::trace!("txn at tag {tag}: waits for its key");
                match (slip.wait(), connection.renew(tag)) {
                    (Word::Free, Some(new)) => {
                        slip = new;
                        continue;
                    }
                    (Word::Decline { retry_after, last, reason }, _) => {
                        return answer.decline(retry_after, last, reason)
                    }
                    (Word::Gone, _) => {
                        answer.page.step(Step::GONE);
                        answer.owed = false;
                        return;
                    }
                    _ => return,
                }
            }
        };
        let mut place = Place { house, key: read.key, id, left: false };
        let (mut told, mut stamp, mut paused) = (Told::Nothing, 0, false);
        let mut asked = Asked::default();
        let mut call: Option<Arc<Call>> = None;
        loop {
            let word = slip.wait();
            tracing::trace!("txn {id}: {}", word.verb());
            match word {
                // Held until the module has judged its wait: it is given to the cores, or turned away undone.
                Word::Run => {
                    told = if std::mem::take(&mut paused) { Told::Thaw } else { Told::Launch };
                    answer.page.step(if matches!(told, Told::Thaw) { Step::RESUMED } else { Step::RUN });
                    stamp = tell(house, told, &read, &asked);
                }
                Word::Decline { retry_after, last, reason } => {
                    answer.decline(retry_after, last, reason);
                    place.left = true;
                    return;
                }
                // A repeat of what is in hand or has run gets that one's result.
                Word::Replay => {
                    answer.page.step(Step::REPLAYED);
                    match key {
                        Some(key) => house.desk.replay(key, read.print, &slip),
                        None => slip.say(Word::Result(None)),
                    }
                }
                // That one never ran after all: this is the first now, and hears its words on a slip of its own.
                Word::Free => {
                    place.leave(Outcome::NotNeeded, 0.0);
                    match connection.renew(tag) {
                        Some(new) => slip = new,
                        None => return,
                    }
                    break;
                }
                Word::Result(Some(result)) => {
                    answer.settle(&result);
                    place.leave(Outcome::Completed, 0.0);
                    return;
                }
                Word::Result(None) => {
                    answer.void(Reason::EarlierAttemptFailed);
                    place.leave(Outcome::Failed, 0.0);
                    return;
                }
                // The run stands at a call, which goes below once the module lets it.
                Word::AtCall { seq, body } => {
                    told = Told::Nothing;
                    (asked.notice, asked.body, asked.tries) = (seq, body, 0);
                    answer.page.step(Step::AT_CALL);
                    house.desk.at_call(id);
                }
                Word::Call { limit } => {
                    answer.page.step(if asked.tries == 0 { Step::CALL } else { Step::CALL_AGAIN });
                    asked.tries += 1;
                    call = Some(Call::begin(house, read.name, asked.body.clone(), limit, &slip));
                }
                Word::Returned { outcome, took, body } => {
                    call = None;
                    answer.page.step(Step::returned(outcome));
                    if outcome == Outcome::Completed {
                        (told, asked.reply) = (Told::Deliver, body);
                        stamp = tell(house, told, &read, &asked);
                    }
                    house.desk.returned(id, outcome, took);
                }
                Word::SkipCall => {
                    answer.page.step(Step::CALL_SKIPPED);
                    told = Told::Forgo;
                    stamp = tell(house, told, &read, &asked);
                }
                // Its due time is near, or its gateway has gone: the duty to answer ends, the run goes on.
                Word::Void(reason) => answer.void(reason),
                Word::Gone => {
                    answer.owed = false;
                    answer.page.step(Step::GONE);
                    house.desk.gone(id);
                }
                Word::Pause => {
                    answer.page.step(Step::PAUSED);
                    (told, paused) = (Told::Freeze, true);
                    stamp = tell(house, told, &read, &asked);
                }
                Word::Ended { outcome, took, body } => {
                    if let Some(call) = call.take() {
                        call.give_up();
                    }
                    answer.page.step(Step::ended(outcome));
                    match outcome {
                        Outcome::Completed => {
                            answer.page.ran(took);
                            let result = Arc::new(body);
                            house.desk.ran(key, id, Some(&result));
                            answer.settle(&result);
                        }
                        Outcome::NotNeeded => house.desk.never_ran(key, id),
                        _ => house.desk.ran(key, id, None),
                    }
                    answer.void(Reason::RunFailed);
                    place.leave(outcome, took);
                    return;
                }
                Word::Over | Word::Close => {
                    place.left = true;
                    return;
                }
                // The link to the agent is new: what it may not have heard is said again.
                Word::Resume if house.agent.heard(stamp) => {}
                Word::Resume => stamp = tell(house, told, &read, &asked),
            }
        }
    }
}

#[cfg(test)]
mod tests;
