//! Blocks of version 2: rows or notes in columns, behind a head that says what is in them. Each stands for
//! itself, names included. `docs/trace-format.md` is the specification.

use crate::codec::*;
use crate::row::*;
use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

/// Rows of one product, customer and fate: how many, and what they were worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Group {
    pub product: u32,
    pub customer: u32,
    pub fate: Fate,
    pub count: u64,
    pub value: f64,
}

/// What a block says of its rows, so that most questions need not read them. All numbers are [`Names`]'.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// us, of the first and the last of its rows or notes.
    pub from: i64,
    pub to: i64,
    pub rows: usize,
    pub nodes: Vec<u32>,
    pub products: Vec<u32>,
    pub customers: Vec<u32>,
    pub paths: Vec<u32>,
    pub groups: Vec<Group>,
    /// us, the longest wait and run.
    pub longest_wait: u64,
    pub longest_run: u64,
}

/// Numbers of one block, given in the order in which they are first seen.
#[derive(Default)]
struct Local<K> {
    by_key: HashMap<K, u64>,
    keys: Vec<K>,
}

impl<K: Copy + Eq + Hash> Local<K> {
    fn number(&mut self, key: K) -> u64 {
        // Runs of the same are common.
        *self.by_key.entry(key).or_insert_with(|| {
            self.keys.push(key);
            self.keys.len() as u64 - 1
        })
    }
}

mod column {
    pub const READ: u8 = 1;
    pub const UNREAD: u8 = 2;
    pub const NODE: u8 = 3;
    pub const PRODUCT: u8 = 4;
    pub const CUSTOMER: u8 = 5;
    pub const CALLER: u8 = 6;
    pub const RANK: u8 = 7;
    pub const HINT: u8 = 8;
    pub const MEMORY: u8 = 9;
    pub const FLAGS: u8 = 10;
    pub const NAME: u8 = 11;
    pub const KEY: u8 = 12;
    pub const KEEP_OFF: u8 = 13;
    pub const PATH: u8 = 14;
    pub const SPANS: u8 = 15;
    pub const TOPIC: u8 = 16;
    pub const VALUE: u8 = 17;
}

/// Names of the columns, for the table of bytes.
pub fn column_text(id: u8) -> &'static str {
    const TEXTS: [&str; 18] = [
        "?", "read", "unread", "node", "product", "customer", "caller", "rank", "hint", "memory", "flags",
        "name", "key", "keep off", "path", "spans", "topic", "value",
    ];
    TEXTS.get(usize::from(id)).copied().unwrap_or("?")
}

fn put_section(out: &mut Vec<u8>, id: u8, values: &[u64]) {
    let mut bytes = Vec::new();
    put_column(&mut bytes, values);
    out.push(id);
    put_bytes(out, &bytes);
}

/// Head and columns of some rows, sorted by when they were read.
pub fn pack_rows(names: &Names, rows: &mut [Row]) -> (Head, Vec<u8>, Vec<u8>) {
    rows.sort_by_key(|row| row.read);
    let rows = &*rows;
    debug_assert!(!rows.is_empty() && rows.len() <= MOST_ROWS);
    let (mut nodes, mut products) = (Local::default(), Local::default());
    let (mut customers, mut paths) = (Local::default(), Local::default());
    let mut groups: BTreeMap<(u64, u64, Fate), (u64, f64)> = BTreeMap::new();
    let fates: Vec<(Fate, usize)> =
        names.paths().iter().map(|path| (path.fate(), path.waited_till())).collect();
    let mut head =
        Head { from: rows[0].read, to: rows[rows.len() - 1].read, rows: rows.len(), ..Head::default() };
    let mut columns: [Vec<u64>; 16] = Default::default();
    for column in &mut columns[1..15] {
        column.reserve(rows.len());
    }
    // One stream of spans for each kind of step: those of a kind are alike.
    let mut spans: Vec<Vec<u64>> = vec![Vec::new(); 256];
    let mut last = rows[0].read;
    for row in rows {
        let (product, customer) = (products.number(row.product), customers.number(row.customer));
        let (fate, waited) = fates[row.path as usize];
        let path = names.steps(row.path);
        let cells = [
            (column::READ, row.read.wrapping_sub(last) as u64),
            (column::UNREAD, coarse(row.unread, ROUGH).into()),
            (column::NODE, nodes.number(row.node)),
            (column::PRODUCT, product),
            (column::CUSTOMER, customer),
            (column::CALLER, row.caller.into()),
            (column::RANK, row.rank.into()),
            (column::HINT, coarse(row.hint, ROUGH).into()),
            (column::MEMORY, coarse(row.memory, ROUGH).into()),
            (column::FLAGS, row.flags.into()),
            (column::NAME, row.name.into()),
            (column::PATH, paths.number(row.path)),
        ];
        for (id, value) in cells {
            columns[usize::from(id)].push(value);
        }
        // Only some have these: the path tells which.
        columns[usize::from(column::KEY)].push(row.key);
        if fate.step().is_declined() {
            columns[usize::from(column::KEEP_OFF)].push(coarse(row.keep_off, SPAN).into());
        }
        let mut held = u64::from(row.unread);
        for (at, (code, span)) in path.0.iter().zip(&row.spans).enumerate() {
            spans[usize::from(*code)].push(coarse(*span, SPAN).into());
            held += if at <= waited { u64::from(*span) } else { 0 };
        }
        head.longest_wait = head.longest_wait.max(held);
        head.longest_run = head.longest_run.max(row.took(path).unwrap_or(0));
        let group = groups.entry((product, customer, fate)).or_default();
        *group = (group.0 + 1, group.1 + row.value(names.terms(row.product)));
        last = row.read;
    }
    // Keys: which rows have one, then those.
    let keys = std::mem::take(&mut columns[usize::from(column::KEY)]);
    let mut body = Vec::new();
    for (id, column) in columns.iter().enumerate() {
        let id = id as u8;
        if id == column::KEY {
            let has: Vec<u64> = keys.iter().map(|key| u64::from(*key != 0)).collect();
            let some: Vec<u64> = keys.iter().copied().filter(|key| *key != 0).collect();
            let mut bytes = Vec::new();
            put_column(&mut bytes, &has);
            put_column(&mut bytes, &some);
            body.push(id);
            put_bytes(&mut body, &bytes);
        } else if id == column::SPANS {
            let mut bytes = Vec::new();
            for (code, stream) in spans.iter().enumerate().filter(|(_, stream)| !stream.is_empty()) {
                bytes.push(code as u8);
                put_column(&mut bytes, stream);
            }
            body.push(id);
            put_bytes(&mut body, &bytes);
        } else if id != 0 {
            put_section(&mut body, id, column);
        }
    }
    (head.nodes, head.products, head.customers, head.paths) =
        (nodes.keys, products.keys, customers.keys, paths.keys);
    head.groups = groups
        .into_iter()
        .map(|((product, customer, fate), (count, value))| Group {
            product: head.products[product as usize],
            customer: head.customers[customer as usize],
            fate,
            count,
            value,
        })
        .collect();
    let bytes = put_head(names, &head);
    (head, bytes, body)
}

/// Head and columns of some notes.
pub fn pack_notes(names: &Names, notes: &mut [Note]) -> (Head, Vec<u8>, Vec<u8>) {
    notes.sort_by_key(|note| note.at);
    let mut nodes = Local::default();
    let mut columns: [Vec<u64>; 4] = Default::default();
    let mut last = notes[0].at;
    for note in &*notes {
        columns[0].push(note.at.wrapping_sub(last) as u64);
        columns[1].push(nodes.number(note.node));
        columns[2].push(note.topic.0.into());
        columns[3].push(note.value.to_bits().into());
        last = note.at;
    }
    let mut body = Vec::new();
    for (id, values) in [column::READ, column::NODE, column::TOPIC, column::VALUE].into_iter().zip(&columns) {
        put_section(&mut body, id, values);
    }
    let (from, to) = (notes[0].at, last);
    let head = Head { from, to, rows: notes.len(), nodes: nodes.keys, ..Head::default() };
    let bytes = put_head(names, &head);
    (head, bytes, body)
}

fn put_head(names: &Names, head: &Head) -> Vec<u8> {
    let mut all = Vec::new();
    all.extend(head.from.to_le_bytes());
    all.extend(head.to.to_le_bytes());
    put_varint(&mut all, head.rows as u64);
    put_varint(&mut all, head.longest_wait);
    put_varint(&mut all, head.longest_run);
    let put_words = |all: &mut Vec<u8>, words: &[u32]| {
        put_varint(all, words.len() as u64);
        words.iter().for_each(|word| put_bytes(all, names.text(*word).as_bytes()));
    };
    put_words(&mut all, &head.nodes);
    put_varint(&mut all, head.products.len() as u64);
    for product in &head.products {
        let terms = names.terms(*product);
        put_bytes(&mut all, terms.name.as_bytes());
        for figure in [terms.value, terms.sla, terms.expiry] {
            all.extend(figure.to_le_bytes());
        }
        all.push(terms.by_work.into());
    }
    put_words(&mut all, &head.customers);
    put_varint(&mut all, head.paths.len() as u64);
    head.paths.iter().for_each(|path| put_bytes(&mut all, &names.steps(*path).0));
    put_varint(&mut all, head.groups.len() as u64);
    let place = |all: &[u32], one| all.iter().position(|at| *at == one).unwrap_or(0) as u64;
    for group in &head.groups {
        put_varint(&mut all, place(&head.products, group.product));
        put_varint(&mut all, place(&head.customers, group.customer));
        all.push(group.fate.0);
        put_varint(&mut all, group.count);
        all.extend(group.value.to_le_bytes());
    }
    let mut bytes = Vec::new();
    put_packed(&mut bytes, &all);
    bytes
}

/// Reads a head, and enters its names.
pub fn take_head(names: &mut Names, bytes: &[u8]) -> Result<Head, Bad> {
    let all = take_packed(&mut Cursor(bytes), MOST_HEAD)?;
    let from = &mut Cursor(&all);
    let mut head = Head { from: from.i64()?, to: from.i64()?, ..Head::default() };
    head.rows = from.count(MOST_ROWS)?;
    (head.longest_wait, head.longest_run) = (from.varint()?, from.varint()?);
    for _ in 0..from.count(MOST_ROWS)? {
        head.nodes.push(names.word(from.text()?));
    }
    for _ in 0..from.count(MOST_ROWS)? {
        let name = from.text()?.to_owned();
        let (value, sla, expiry) = (from.f64()?, from.f64()?, from.f64()?);
        if ![value, sla, expiry].iter().all(|figure| figure.is_finite()) {
            return Err(Bad("a product's terms are no numbers"));
        }
        head.products.push(names.product(&Product { name, value, sla, expiry, by_work: from.u8()? != 0 }));
    }
    for _ in 0..from.count(MOST_ROWS)? {
        head.customers.push(names.word(from.text()?));
    }
    for _ in 0..from.count(MOST_ROWS)? {
        let path = from.bytes()?;
        if path.len() > MOST_STEPS + 2 {
            return Err(Bad("a path is too long"));
        }
        head.paths.push(names.path(path));
    }
    for _ in 0..from.count(MOST_VALUES)? {
        let (product, customer) = (from.count(MOST_ROWS)?, from.count(MOST_ROWS)?);
        let wrong = Bad("a group names nobody");
        head.groups.push(Group {
            product: *head.products.get(product).ok_or(wrong)?,
            customer: *head.customers.get(customer).ok_or(wrong)?,
            fate: Fate(from.u8()?),
            count: from.varint()?,
            value: from.f64()?,
        });
    }
    Ok(head)
}

/// The sections of a body, by their ids; unknown ones are passed over by whoever asks for known ones.
pub struct Sections<'a>(Vec<(u8, &'a [u8])>);

impl<'a> Sections<'a> {
    pub fn new(body: &'a [u8]) -> Result<Sections<'a>, Bad> {
        let mut from = Cursor(body);
        let mut all = Vec::new();
        while !from.0.is_empty() {
            all.push((from.u8()?, from.bytes()?));
        }
        Ok(Sections(all))
    }
    pub fn sizes(&self) -> impl Iterator<Item = (u8, usize)> + '_ {
        self.0.iter().map(|(id, bytes)| (*id, bytes.len()))
    }
    fn get(&self, id: u8) -> Result<Cursor<'a>, Bad> {
        self.0
            .iter()
            .find(|(known, _)| *known == id)
            .map(|(_, b)| Cursor(b))
            .ok_or(Bad("a column is missing"))
    }
    fn column(&self, id: u8, rows: usize) -> Result<Vec<u64>, Bad> {
        take_column(&mut self.get(id)?, Some(rows))
    }
}

fn pick(all: &[u32], at: u64) -> Result<u32, Bad> {
    usize::try_from(at).ok().and_then(|at| all.get(at)).copied().ok_or(Bad("a row names nobody"))
}

fn narrow<T: TryFrom<u64>>(value: u64) -> Result<T, Bad> {
    T::try_from(value).map_err(|_| Bad("a value is out of range"))
}

/// Enters the rows of a block behind those that are there.
pub fn take_rows(names: &Names, head: &Head, body: &[u8], into: &mut Vec<Row>) -> Result<(), Bad> {
    let sections = Sections::new(body)?;
    let column = |id| sections.column(id, head.rows);
    let (read, unread, node) = (column(column::READ)?, column(column::UNREAD)?, column(column::NODE)?);
    let (product, customer) = (column(column::PRODUCT)?, column(column::CUSTOMER)?);
    let (caller, rank, hint) = (column(column::CALLER)?, column(column::RANK)?, column(column::HINT)?);
    let (memory, flags, name) = (column(column::MEMORY)?, column(column::FLAGS)?, column(column::NAME)?);
    let path = column(column::PATH)?;
    let mut keep_off = take_column(&mut sections.get(column::KEEP_OFF)?, None)?.into_iter();
    let mut keys = sections.get(column::KEY)?;
    let has_key = take_column(&mut keys, Some(head.rows))?;
    let mut keys = take_column(&mut keys, None)?.into_iter();
    let mut streams: Vec<std::vec::IntoIter<u64>> = Vec::new();
    let mut by_code = [usize::MAX; 256];
    let mut spans = sections.get(column::SPANS)?;
    while !spans.0.is_empty() {
        let code = spans.u8()?;
        by_code[usize::from(code)] = streams.len();
        streams.push(take_column(&mut spans, None)?.into_iter());
    }
    let declined: Vec<bool> =
        head.paths.iter().map(|path| names.steps(*path).fate().step().is_declined()).collect();
    let lacks = Bad("a column lacks values");
    into.reserve(head.rows);
    let mut at = head.from;
    for i in 0..head.rows {
        at = at.wrapping_add(read[i] as i64);
        let global = pick(&head.paths, path[i])?;
        let mut row = Row {
            read: at,
            unread: fine(narrow(unread[i])?, ROUGH),
            node: pick(&head.nodes, node[i])?,
            product: pick(&head.products, product[i])?,
            customer: pick(&head.customers, customer[i])?,
            caller: narrow(caller[i])?,
            rank: narrow(rank[i])?,
            hint: fine(narrow(hint[i])?, ROUGH),
            memory: fine(narrow(memory[i])?, ROUGH),
            flags: narrow(flags[i])?,
            name: narrow(name[i])?,
            key: if has_key[i] != 0 { keys.next().ok_or(lacks)? } else { 0 },
            path: global,
            ..Row::default()
        };
        if declined[path[i] as usize] {
            row.keep_off = fine(narrow(keep_off.next().ok_or(lacks)?)?, SPAN);
        }
        for code in &names.steps(global).0 {
            let stream = streams.get_mut(by_code[usize::from(*code)]).ok_or(lacks)?;
            row.spans.push(fine(narrow(stream.next().ok_or(lacks)?)?, SPAN));
        }
        into.push(row);
    }
    Ok(())
}

pub fn take_notes(head: &Head, body: &[u8], into: &mut Vec<Note>) -> Result<(), Bad> {
    let sections = Sections::new(body)?;
    let (read, node) = (sections.column(column::READ, head.rows)?, sections.column(column::NODE, head.rows)?);
    let topic = sections.column(column::TOPIC, head.rows)?;
    let value = sections.column(column::VALUE, head.rows)?;
    let mut at = head.from;
    for i in 0..head.rows {
        at = at.wrapping_add(read[i] as i64);
        into.push(Note {
            at,
            node: pick(&head.nodes, node[i])?,
            topic: Topic(narrow(topic[i])?),
            value: f32::from_bits(narrow(value[i])?),
        });
    }
    Ok(())
}
