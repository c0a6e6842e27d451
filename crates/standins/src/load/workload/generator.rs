//! Generates the arrivals of an experiment from a seed.
//!
//! Arrivals are a Poisson process with a constant rate (open loop). Popularity
//! follows Zipf's law over ranks. A permutation maps ranks to adapters; churn
//! and sudden swaps change the permutation over time.

use super::{AdapterIndex, Arrival, ClassIndex, ClassMix, Swap, Workload, WorkloadError, invalid};
use rand::rngs::StdRng;
use rand::seq::SliceRandom as _;
use rand::seq::index::sample;
use rand::{RngExt as _, SeedableRng as _};
use rand_distr::{Distribution as _, Exp, LogNormal, Zipf};
use std::time::Duration;

const SECONDS_PER_HOUR: f64 = 3_600.0;
/// Number of adapters whose popularity an exchange of ranks changes.
const ADAPTERS_PER_EXCHANGE: f64 = 2.0;

/// Mapping of popularity ranks to adapters, which changes over time.
#[derive(Clone, Debug)]
struct Ranks {
    by_rank: Vec<AdapterIndex>,
    exchange_gap: Option<Exp<f64>>,
    next_exchange: f64,
    swap: Option<Swap>,
}

impl Ranks {
    fn new(workload: &Workload, rng: &mut StdRng) -> Result<Self, WorkloadError> {
        let mut by_rank: Vec<_> = (0..workload.adapters).collect();
        by_rank.shuffle(rng);
        let changes = workload.churn_per_hour * workload.adapters as f64;
        let rate = changes / ADAPTERS_PER_EXCHANGE / SECONDS_PER_HOUR;
        let exchange_gap = (rate > 0.0)
            .then(|| Exp::new(rate))
            .transpose()
            .map_err(|_rate| invalid("churn_per_hour", "must give a finite rate of changes"))?;
        let next_exchange = exchange_gap.map_or(f64::INFINITY, |gap| gap.sample(rng));
        Ok(Self {
            by_rank,
            exchange_gap,
            next_exchange,
            swap: workload.swap,
        })
    }

    fn advance(&mut self, now: f64, rng: &mut StdRng) {
        while self.next_exchange <= now {
            self.exchange(rng);
        }
        if let Some(swap) = self.swap.take_if(|swap| swap.at_s <= now) {
            self.swap_top(swap.top, rng);
        }
    }

    fn exchange(&mut self, rng: &mut StdRng) {
        let a = rng.random_range(0..self.by_rank.len());
        let b = rng.random_range(0..self.by_rank.len());
        self.by_rank.swap(a, b);
        let gap = self
            .exchange_gap
            .map_or(f64::INFINITY, |gap| gap.sample(rng));
        self.next_exchange += gap;
    }

    fn swap_top(&mut self, top: usize, rng: &mut StdRng) {
        let half = self.by_rank.len() / 2;
        let less_popular = sample(rng, self.by_rank.len() - half, top);
        for (rank, offset) in less_popular.iter().enumerate() {
            self.by_rank.swap(rank, half + offset);
        }
    }
}

/// Generates arrivals one after the other.
pub(super) struct Generator<'a> {
    workload: &'a Workload,
    rng: StdRng,
    churn_rng: StdRng,
    ranks: Ranks,
    gap: Exp<f64>,
    popularity: Zipf<f64>,
    tokens: Vec<LogNormal<f64>>,
    total_share: f64,
    now: f64,
}

impl<'a> Generator<'a> {
    pub(super) fn new(workload: &'a Workload, seed: u64) -> Result<Self, WorkloadError> {
        workload.check()?;
        let mut rng = StdRng::seed_from_u64(seed);
        let mut churn_rng = StdRng::from_rng(&mut rng);
        let ranks = Ranks::new(workload, &mut churn_rng)?;
        let gap = Exp::new(workload.rate)
            .map_err(|_rate| invalid("rate", "must be a finite rate above 0"))?;
        let popularity = Zipf::new(workload.adapters as f64, workload.zipf_exponent)
            .map_err(|_zipf| invalid("zipf_exponent", "must be a valid Zipf exponent"))?;
        let tokens = workload.classes.iter().map(token_counts);
        Ok(Self {
            workload,
            rng,
            churn_rng,
            ranks,
            gap,
            popularity,
            tokens: tokens.collect::<Result<_, _>>()?,
            total_share: workload.classes.iter().map(|class| class.share).sum(),
            now: 0.0,
        })
    }

    pub(super) fn next(&mut self) -> Option<Arrival> {
        self.now += self.gap.sample(&mut self.rng);
        if self.now >= self.workload.duration_s {
            return None;
        }
        self.ranks.advance(self.now, &mut self.churn_rng);
        let class = self.pick_class();
        let rank = self.popularity.sample(&mut self.rng) as usize;
        let tokens = self.pick_tokens(class);
        Some(Arrival {
            at: Duration::from_secs_f64(self.now),
            adapter: self.ranks.by_rank[rank.saturating_sub(1)],
            class,
            tokens,
        })
    }

    fn pick_class(&mut self) -> ClassIndex {
        let mut remaining = self.rng.random::<f64>() * self.total_share;
        let last = self.workload.classes.len() - 1;
        for (class, mix) in self.workload.classes.iter().enumerate() {
            remaining -= mix.share;
            if remaining < 0.0 {
                return class;
            }
        }
        last
    }

    fn pick_tokens(&mut self, class: ClassIndex) -> u32 {
        let bounds = self.workload.classes[class].tokens;
        let drawn = self.tokens[class].sample(&mut self.rng).round();
        drawn.clamp(f64::from(bounds.min), f64::from(bounds.max)) as u32
    }
}

fn token_counts(mix: &ClassMix) -> Result<LogNormal<f64>, WorkloadError> {
    LogNormal::new(mix.tokens.median.ln(), mix.tokens.sigma)
        .map_err(|_tokens| invalid("classes.tokens", "median and sigma must be finite"))
}
