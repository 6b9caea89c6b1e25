//! Blocks of version 2: rows or notes in columns, preceded by a head that summarises them. Each block is
//! self-contained, names included. `docs/trace-format.md` specifies the format.

use crate::codec::*;
use crate::row::*;
use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

/// Count and total value of the rows with the same product, customer and disposition.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Group {
    pub product: u32,
    pub customer: u32,
    pub disposition: Disposition,
    pub count: u64,
    pub value: f64,
}

/// Summary of a block's rows, from which most queries are answered without reading the body. Numbers refer to [`Names`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BlockHead {
    /// Time of the first record, in us.
    pub from: i64,
    /// Time of the last record, in us.
    pub to: i64,
    pub rows: usize,
    pub nodes: Vec<u32>,
    pub products: Vec<u32>,
    pub customers: Vec<u32>,
    pub paths: Vec<u32>,
    pub groups: Vec<Group>,
    /// Longest wait, in us.
    pub longest_wait: u64,
    /// Longest run, in us.
    pub longest_run: u64,
}

/// Block-local numbers of keys, assigned in order of first use.
#[derive(Default)]
struct LocalNumbers<K> {
    by_key: HashMap<K, u64>,
    keys: Vec<K>,
}

impl<K: Copy + Eq + Hash> LocalNumbers<K> {
    fn number(&mut self, key: K) -> u64 {
        *self.by_key.entry(key).or_insert_with(|| {
            self.keys.push(key);
            self.keys.len() as u64 - 1
        })
    }
}

/// Section ids of the columns.
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

/// Returns the name of a column for reports of column sizes.
pub fn column_name(id: u8) -> &'static str {
    const TEXTS: [&str; 18] = [
        "?", "read", "unread", "node", "product", "customer", "caller", "rank", "hint", "memory", "flags",
        "name", "key", "keep off", "path", "spans", "topic", "value",
    ];
    TEXTS.get(usize::from(id)).copied().unwrap_or("?")
}

/// Appends a column with its id.
fn put_section(out: &mut Vec<u8>, id: u8, values: &[u64]) {
    let mut bytes = Vec::new();
    put_column(&mut bytes, values);
    out.push(id);
    put_bytes(out, &bytes);
}

/// Encodes rows as head and columns, sorted by read time.
pub fn encode_rows(names: &Names, rows: &mut [Row]) -> (BlockHead, Vec<u8>, Vec<u8>) {
    rows.sort_by_key(|row| row.read);
    let rows = &*rows;
    debug_assert!(!rows.is_empty() && rows.len() <= MAX_BLOCK_ROWS);
    let (mut nodes, mut products) = (LocalNumbers::default(), LocalNumbers::default());
    let (mut customers, mut paths) = (LocalNumbers::default(), LocalNumbers::default());
    let mut groups: BTreeMap<(u64, u64, Disposition), (u64, f64)> = BTreeMap::new();
    let dispositions: Vec<(Disposition, usize)> =
        names.paths().iter().map(|path| (path.disposition(), path.wait_end())).collect();
    let mut head = BlockHead {
        from: rows[0].read,
        to: rows[rows.len() - 1].read,
        rows: rows.len(),
        ..BlockHead::default()
    };
    let mut columns: [Vec<u64>; 16] = Default::default();
    for column in &mut columns[1..15] {
        column.reserve(rows.len());
    }
    // Spans are stored per step code, since spans of the same step have similar sizes.
    let mut spans: Vec<Vec<u64>> = vec![Vec::new(); 256];
    let mut last = rows[0].read;
    for row in rows {
        let (product, customer) = (products.number(row.product), customers.number(row.customer));
        let (disposition, waited) = dispositions[row.path as usize];
        let path = names.path(row.path);
        let cells = [
            (column::READ, row.read.wrapping_sub(last) as u64),
            (column::UNREAD, quantize(row.unread, ESTIMATE_BITS).into()),
            (column::NODE, nodes.number(row.node)),
            (column::PRODUCT, product),
            (column::CUSTOMER, customer),
            (column::CALLER, row.caller.into()),
            (column::RANK, row.rank.into()),
            (column::HINT, quantize(row.hint, ESTIMATE_BITS).into()),
            (column::MEMORY, quantize(row.memory, ESTIMATE_BITS).into()),
            (column::FLAGS, row.flags.into()),
            (column::NAME, row.name.into()),
            (column::PATH, paths.number(row.path)),
        ];
        for (id, value) in cells {
            columns[usize::from(id)].push(value);
        }
        // Sparse columns: `KEEP_OFF` has values for declined rows only.
        columns[usize::from(column::KEY)].push(row.key);
        if disposition.step().is_declined() {
            columns[usize::from(column::KEEP_OFF)].push(quantize(row.keep_off, SPAN_BITS).into());
        }
        let mut wait = u64::from(row.unread);
        for (at, (code, span)) in path.0.iter().zip(&row.spans).enumerate() {
            spans[usize::from(*code)].push(quantize(*span, SPAN_BITS).into());
            wait += if at <= waited { u64::from(*span) } else { 0 };
        }
        head.longest_wait = head.longest_wait.max(wait);
        head.longest_run = head.longest_run.max(row.run_time(path).unwrap_or(0));
        let group = groups.entry((product, customer, disposition)).or_default();
        *group = (group.0 + 1, group.1 + row.value(names.product(row.product)));
        last = row.read;
    }
    // The key column holds a presence flag for each row, then the keys that are present.
    let keys = std::mem::take(&mut columns[usize::from(column::KEY)]);
    let mut body = Vec::new();
    for (id, column) in columns.iter().enumerate() {
        let id = id as u8;
        if id == column::KEY {
            let present: Vec<u64> = keys.iter().map(|key| u64::from(*key != 0)).collect();
            let some: Vec<u64> = keys.iter().copied().filter(|key| *key != 0).collect();
            let mut bytes = Vec::new();
            put_column(&mut bytes, &present);
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
        .map(|((product, customer, disposition), (count, value))| Group {
            product: head.products[product as usize],
            customer: head.customers[customer as usize],
            disposition,
            count,
            value,
        })
        .collect();
    let bytes = put_head(names, &head);
    (head, bytes, body)
}

/// Encodes notes as head and columns, sorted by time.
pub fn encode_notes(names: &Names, notes: &mut [Note]) -> (BlockHead, Vec<u8>, Vec<u8>) {
    notes.sort_by_key(|note| note.at);
    let mut nodes = LocalNumbers::default();
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
    let head = BlockHead { from, to, rows: notes.len(), nodes: nodes.keys, ..BlockHead::default() };
    let bytes = put_head(names, &head);
    (head, bytes, body)
}

fn put_head(names: &Names, head: &BlockHead) -> Vec<u8> {
    let mut bytes = Vec::new();
    bytes.extend(head.from.to_le_bytes());
    bytes.extend(head.to.to_le_bytes());
    put_varint(&mut bytes, head.rows as u64);
    put_varint(&mut bytes, head.longest_wait);
    put_varint(&mut bytes, head.longest_run);
    let put_words = |bytes: &mut Vec<u8>, words: &[u32]| {
        put_varint(bytes, words.len() as u64);
        words.iter().for_each(|word| put_bytes(bytes, names.text(*word).as_bytes()));
    };
    put_words(&mut bytes, &head.nodes);
    put_varint(&mut bytes, head.products.len() as u64);
    for product in &head.products {
        let terms = names.product(*product);
        put_bytes(&mut bytes, terms.name.as_bytes());
        for term in [terms.value, terms.sla, terms.expiry] {
            bytes.extend(term.to_le_bytes());
        }
        bytes.push(terms.by_work.into());
    }
    put_words(&mut bytes, &head.customers);
    put_varint(&mut bytes, head.paths.len() as u64);
    head.paths.iter().for_each(|path| put_bytes(&mut bytes, &names.path(*path).0));
    put_varint(&mut bytes, head.groups.len() as u64);
    let position =
        |numbers: &[u32], wanted| numbers.iter().position(|number| *number == wanted).unwrap_or(0) as u64;
    for group in &head.groups {
        put_varint(&mut bytes, position(&head.products, group.product));
        put_varint(&mut bytes, position(&head.customers, group.customer));
        bytes.push(group.disposition.0);
        put_varint(&mut bytes, group.count);
        bytes.extend(group.value.to_le_bytes());
    }
    let mut compressed = Vec::new();
    put_compressed(&mut compressed, &bytes);
    compressed
}

/// Decodes a head and interns its names.
pub fn read_head(names: &mut Names, bytes: &[u8]) -> Result<BlockHead, DecodeError> {
    let decompressed = read_compressed(&mut Cursor(bytes), MAX_HEAD_BYTES)?;
    let from = &mut Cursor(&decompressed);
    let mut head = BlockHead { from: from.i64()?, to: from.i64()?, ..BlockHead::default() };
    head.rows = from.count(MAX_BLOCK_ROWS)?;
    (head.longest_wait, head.longest_run) = (from.varint()?, from.varint()?);
    for _ in 0..from.count(MAX_BLOCK_ROWS)? {
        head.nodes.push(names.intern(from.text()?));
    }
    for _ in 0..from.count(MAX_BLOCK_ROWS)? {
        let name = from.text()?.to_owned();
        let (value, sla, expiry) = (from.f64()?, from.f64()?, from.f64()?);
        if ![value, sla, expiry].iter().all(|term| term.is_finite()) {
            return Err(DecodeError("product terms are not finite numbers"));
        }
        head.products.push(names.intern_product(&Product {
            name,
            value,
            sla,
            expiry,
            by_work: from.u8()? != 0,
        }));
    }
    for _ in 0..from.count(MAX_BLOCK_ROWS)? {
        head.customers.push(names.intern(from.text()?));
    }
    for _ in 0..from.count(MAX_BLOCK_ROWS)? {
        let path = from.bytes()?;
        if path.len() > MAX_STEPS + 2 {
            return Err(DecodeError("path has too many steps"));
        }
        head.paths.push(names.intern_path(path));
    }
    for _ in 0..from.count(MAX_COLUMN_VALUES)? {
        let (product, customer) = (from.count(MAX_BLOCK_ROWS)?, from.count(MAX_BLOCK_ROWS)?);
        let unknown = DecodeError("group refers to an unknown product or customer");
        head.groups.push(Group {
            product: *head.products.get(product).ok_or(unknown)?,
            customer: *head.customers.get(customer).ok_or(unknown)?,
            disposition: Disposition(from.u8()?),
            count: from.varint()?,
            value: from.f64()?,
        });
    }
    Ok(head)
}

/// Sections of a block's body by id. Unknown ids are ignored.
pub struct Sections<'a>(Vec<(u8, &'a [u8])>);

impl<'a> Sections<'a> {
    /// Splits a body into its sections.
    pub fn new(body: &'a [u8]) -> Result<Sections<'a>, DecodeError> {
        let mut from = Cursor(body);
        let mut sections = Vec::new();
        while !from.0.is_empty() {
            sections.push((from.u8()?, from.bytes()?));
        }
        Ok(Sections(sections))
    }
    /// Returns id and length in bytes of each section.
    pub fn sizes(&self) -> impl Iterator<Item = (u8, usize)> + '_ {
        self.0.iter().map(|(id, bytes)| (*id, bytes.len()))
    }
    fn get(&self, id: u8) -> Result<Cursor<'a>, DecodeError> {
        self.0
            .iter()
            .find(|(known, _)| *known == id)
            .map(|(_, b)| Cursor(b))
            .ok_or(DecodeError("required column is missing"))
    }
    fn column(&self, id: u8, rows: usize) -> Result<Vec<u64>, DecodeError> {
        read_column(&mut self.get(id)?, Some(rows))
    }
}

/// Resolves a block-local number.
fn lookup(numbers: &[u32], at: u64) -> Result<u32, DecodeError> {
    usize::try_from(at)
        .ok()
        .and_then(|at| numbers.get(at))
        .copied()
        .ok_or(DecodeError("record refers to an unknown name"))
}

fn narrow<T: TryFrom<u64>>(value: u64) -> Result<T, DecodeError> {
    T::try_from(value).map_err(|_| DecodeError("value out of range"))
}

/// Decodes the rows of a block and appends them to `into`.
pub fn read_rows(
    names: &Names,
    head: &BlockHead,
    body: &[u8],
    into: &mut Vec<Row>,
) -> Result<(), DecodeError> {
    let sections = Sections::new(body)?;
    let column = |id| sections.column(id, head.rows);
    let (read, unread, node) = (column(column::READ)?, column(column::UNREAD)?, column(column::NODE)?);
    let (product, customer) = (column(column::PRODUCT)?, column(column::CUSTOMER)?);
    let (caller, rank, hint) = (column(column::CALLER)?, column(column::RANK)?, column(column::HINT)?);
    let (memory, flags, name) = (column(column::MEMORY)?, column(column::FLAGS)?, column(column::NAME)?);
    let path = column(column::PATH)?;
    let mut keep_off = read_column(&mut sections.get(column::KEEP_OFF)?, None)?.into_iter();
    let mut keys = sections.get(column::KEY)?;
    let has_key = read_column(&mut keys, Some(head.rows))?;
    let mut keys = read_column(&mut keys, None)?.into_iter();
    let mut streams: Vec<std::vec::IntoIter<u64>> = Vec::new();
    let mut by_code = [usize::MAX; 256];
    let mut spans = sections.get(column::SPANS)?;
    while !spans.0.is_empty() {
        let code = spans.u8()?;
        by_code[usize::from(code)] = streams.len();
        streams.push(read_column(&mut spans, None)?.into_iter());
    }
    let declined: Vec<bool> =
        head.paths.iter().map(|path| names.path(*path).disposition().step().is_declined()).collect();
    let missing = DecodeError("column has too few values");
    into.reserve(head.rows);
    let mut at = head.from;
    for i in 0..head.rows {
        at = at.wrapping_add(read[i] as i64);
        let path_number = lookup(&head.paths, path[i])?;
        let mut row = Row {
            read: at,
            unread: dequantize(narrow(unread[i])?, ESTIMATE_BITS),
            node: lookup(&head.nodes, node[i])?,
            product: lookup(&head.products, product[i])?,
            customer: lookup(&head.customers, customer[i])?,
            caller: narrow(caller[i])?,
            rank: narrow(rank[i])?,
            hint: dequantize(narrow(hint[i])?, ESTIMATE_BITS),
            memory: dequantize(narrow(memory[i])?, ESTIMATE_BITS),
            flags: narrow(flags[i])?,
            name: narrow(name[i])?,
            key: if has_key[i] != 0 { keys.next().ok_or(missing)? } else { 0 },
            path: path_number,
            ..Row::default()
        };
        if declined[path[i] as usize] {
            row.keep_off = dequantize(narrow(keep_off.next().ok_or(missing)?)?, SPAN_BITS);
        }
        for code in &names.path(path_number).0 {
            let stream = streams.get_mut(by_code[usize::from(*code)]).ok_or(missing)?;
            row.spans.push(dequantize(narrow(stream.next().ok_or(missing)?)?, SPAN_BITS));
        }
        into.push(row);
    }
    Ok(())
}

/// Decodes the notes of a block and appends them to `into`.
pub fn read_notes(head: &BlockHead, body: &[u8], into: &mut Vec<Note>) -> Result<(), DecodeError> {
    let sections = Sections::new(body)?;
    let (read, node) = (sections.column(column::READ, head.rows)?, sections.column(column::NODE, head.rows)?);
    let topic = sections.column(column::TOPIC, head.rows)?;
    let value = sections.column(column::VALUE, head.rows)?;
    let mut at = head.from;
    for i in 0..head.rows {
        at = at.wrapping_add(read[i] as i64);
        into.push(Note {
            at,
            node: lookup(&head.nodes, node[i])?,
            topic: Topic(narrow(topic[i])?),
            value: f32::from_bits(narrow(value[i])?),
        });
    }
    Ok(())
}
