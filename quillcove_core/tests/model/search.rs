//! Breadth-first search over all interleavings of a world, by a graph library.

use std::cell::Cell;
use std::hash::{Hash, Hasher};

use pathfinding::directed::bfs::bfs;
use siphasher::sip128::{Hasher128, SipHasher13};

/// A closed system: machines of the core with everything around them.
pub trait World: Clone + std::fmt::Debug {
    /// Every next step, with what it is called in a trace.
    fn steps(&self) -> Vec<(String, Self)>;

    /// What must never be and is.
    fn fault(&self) -> Option<String>;
}

/// What a search found.
#[derive(Debug)]
pub struct SearchReport {
    /// Different states seen.
    pub states: usize,
    /// Steps to the state furthest from the start.
    pub depth: usize,
    /// The shortest way to a fault, a step a line.
    pub trace: Option<Vec<String>>,
}

impl SearchReport {
    /// The trace as text.
    pub fn text(&self) -> String {
        self.trace.as_ref().map_or("no fault".to_string(), |trace| trace.join("\n"))
    }
}

/// A state with its fingerprint, which stands for it in the set of states seen.
#[derive(Clone)]
struct Node<W> {
    world: W,
    print: u128,
    depth: usize,
    label: String,
}

impl<W> PartialEq for Node<W> {
    fn eq(&self, other: &Self) -> bool {
        self.print == other.print
    }
}

impl<W> Eq for Node<W> {}

impl<W> Hash for Node<W> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.print.hash(state);
    }
}

fn node<W: World>(world: W, depth: usize, label: String) -> Node<W> {
    let mut hasher = SipHasher13::new();
    format!("{world:?}").hash(&mut hasher);
    Node { print: hasher.finish128().as_u128(), world, depth, label }
}

/// Searches all states up to a depth.
pub fn search<W: World>(start: W, depth_limit: usize) -> SearchReport {
    let states = Cell::new(1);
    let depth = Cell::new(0);
    let seen = std::cell::RefCell::new(std::collections::HashSet::new());
    let successors = |from: &Node<W>| -> Vec<Node<W>> {
        depth.set(depth.get().max(from.depth));
        if from.depth >= depth_limit {
            return Vec::new();
        }
        let next = from.world.steps().into_iter();
        let next = next.map(|(label, world)| node(world, from.depth + 1, label));
        // States seen before are dropped here already, so that they take no memory.
        let new: Vec<Node<W>> = next.filter(|node| seen.borrow_mut().insert(node.print)).collect();
        states.set(states.get() + new.len());
        new
    };
    let start = node(start, 0, "start".to_string());
    seen.borrow_mut().insert(start.print);
    let path = bfs(&start, successors, |node| node.world.fault().is_some());
    let trace = path.map(|path| {
        let mut lines: Vec<String> = path.iter().map(|node| node.label.clone()).collect();
        lines.extend(path.last().and_then(|node| node.world.fault()));
        lines
    });
    SearchReport { states: states.get(), depth: depth.get(), trace }
}
