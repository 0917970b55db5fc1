//! The printed tables of a scale run.

use std::fmt::Write;

use super::ScaleResult;
use super::full_configuration::FullConfiguration;
use super::measure::SizeResult;
use super::traffic::ByteRates;

/// All tables as text.
pub fn render(result: &ScaleResult) -> String {
    let mut text = String::new();
    render_bytes(&mut text, &result.sizes);
    render_times(&mut text, &result.sizes);
    render_configuration(&mut text, &result.full_configuration);
    text
}

fn render_configuration(text: &mut String, configuration: &FullConfiguration) {
    let _ = writeln!(
        text,
        "\none daemon with {} tenants and as many routes: replica {:.1} MB, view {:.1} MB built in {:.3} s, \
         whole copy {:.1} MB",
        configuration.tenants,
        configuration.replica_bytes as f64 / 1e6,
        configuration.view_bytes as f64 / 1e6,
        configuration.view_build_s,
        configuration.copy_bytes as f64 / 1e6,
    );
}

fn render_bytes(text: &mut String, results: &[SizeResult]) {
    let _ = writeln!(
        text,
        "\nquiet, per daemon: gossip sent in bytes/s by kind, both directions in all, processor time\n\
         {:>7} {:>7} {:>6} {:>7} {:>7} {:>6} {:>7} {:>5} {:>6} {:>6} {:>6} {:>6} {:>9} {:>6}",
        "daemons",
        "headers",
        "probes",
        "members",
        "engines",
        "loads",
        "notices",
        "sync",
        "sent",
        "copies",
        "store",
        "status",
        "both ways",
        "cpu %"
    );
    for result in results {
        let rates = &result.quiet;
        let _ = writeln!(
            text,
            "{:>7} {:>7.0} {:>6.0} {:>7.0} {:>7.0} {:>6.0} {:>7.0} {:>5.0} {:>6.0} {:>6.0} {:>6.0} \
             {:>6.0} {:>9.0} {:>6.3}",
            result.daemons,
            rates.headers,
            rates.probes,
            rates.members,
            rates.engines,
            rates.loads,
            rates.notices,
            rates.sync,
            rates.gossip_sent(),
            rates.copies,
            rates.store,
            rates.status,
            rates.both_directions(),
            result.quiet_cpu_percent,
        );
    }
}

fn render_times(text: &mut String, results: &[SizeResult]) {
    let _ = writeln!(text, "\nper size");
    for result in results {
        let _ = writeln!(
            text,
            "{} daemons, {} engines\n\
             \x20 herd start: members {:.2} s, engines {:.2} s, configuration {:.2} s, {} store lists, {:.0} bytes per daemon\n\
             \x20 load age: own zone median {:.1} s, p99 {:.1} s; other zones {:.1} s, {:.1} s\n\
             \x20 resident memory of the process: {:.1} MB\n\
             \x20 change in force everywhere: quiet {:.2} s (slowest of 5), with {} restarts {:.2} s\n\
             \x20 restarts known everywhere: {:.2} s, {}\n\
             \x20 zone cut: change elsewhere {:.2} s, noticed {:.2} s; healed: change {:.2} s, members {:.2} s, {}",
            result.daemons,
            result.engines,
            result.herd_members_s,
            result.herd_engines_s,
            result.herd_config_s,
            result.herd_store_lists,
            result.herd_bytes,
            result.near_load_age_s.0,
            result.near_load_age_s.1,
            result.far_load_age_s.0,
            result.far_load_age_s.1,
            result.resident_bytes as f64 / 1e6,
            result.change_quiet_s,
            result.restarts,
            result.change_restarts_s,
            result.restarts_known_s,
            both_ways(&result.restarts_rates),
            result.change_cut_s,
            result.cut_noticed_s,
            result.change_healed_s,
            result.healed_members_s,
            both_ways(&result.healed_rates),
        );
    }
    render_slope(text, results);
}

fn both_ways(rates: &ByteRates) -> String {
    format!("{:.0} bytes/s both ways meanwhile", rates.both_directions())
}

/// Memory per daemon, from the two largest sizes: what is shared by all cancels out.
fn render_slope(text: &mut String, results: &[SizeResult]) {
    let [.., smaller, larger] = results else {
        return;
    };
    let daemons = larger.daemons as f64 - smaller.daemons as f64;
    let bytes = larger.resident_bytes as f64 - smaller.resident_bytes as f64;
    let _ = writeln!(
        text,
        "\nmemory slope from {} to {} daemons: {:.2} MB per daemon",
        smaller.daemons,
        larger.daemons,
        bytes / daemons / 1e6
    );
}
