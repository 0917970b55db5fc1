//! Reports of prompts between gateways: their size, and gateways of the previous build, which know fewer fields.

use driftspring_gateway::peers::known::MAX_PROMPTS;
use driftspring_gateway::peers::message::{
    MAX_DATAGRAM_BYTES, Message, OtherGroupPrompts, Report, Spread, WirePrompt,
};
use musli::{Decode, Encode};

/// A prompt as the previous build knows it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
struct EarlierPrompt {
    replica: String,
    #[musli(default)]
    born: Option<u64>,
    tokens: u64,
    prefixes: Vec<u64>,
    #[musli(default)]
    sender: u32,
}

impl From<&WirePrompt> for EarlierPrompt {
    fn from(prompt: &WirePrompt) -> Self {
        Self {
            replica: prompt.replica.clone(),
            born: prompt.born,
            tokens: prompt.tokens,
            prefixes: prompt.prefixes.clone(),
            sender: prompt.sender,
        }
    }
}

/// A report as the previous build knows it, with the kinds up to the prompts.
#[derive(Debug, PartialEq, Eq, Encode, Decode)]
enum EarlierReport {
    Prompts(Vec<EarlierPrompt>),
}

#[derive(Debug, PartialEq, Eq, Encode, Decode)]
struct EarlierSpread {
    root: u64,
    rotation: u32,
    report: EarlierReport,
}

fn encoded<T>(value: &T) -> Vec<u8>
where
    T: Encode<musli::mode::Binary>,
{
    musli::wire::to_vec(value).expect("it encodes")
}

#[test]
fn the_previous_build_decodes_prompts_with_the_new_fields() {
    // Guards against a change that the previous build counts as unreadable, which would hide the load from it.
    let prompts: Vec<WirePrompt> = (0..3).map(usual_prompt).collect();
    let earlier: Vec<EarlierPrompt> = prompts.iter().map(EarlierPrompt::from).collect();
    let decoded: Vec<EarlierPrompt> =
        musli::wire::decode(&encoded(&prompts)[..]).expect("it decodes");
    assert_eq!(decoded, earlier);
    let spread = Spread {
        root: 1,
        rotation: 2,
        report: Report::Prompts(prompts),
    };
    let decoded: EarlierSpread = musli::wire::decode(&encoded(&spread)[..]).expect("it decodes");
    assert_eq!(decoded.report, EarlierReport::Prompts(earlier));
}

#[test]
fn prompts_of_the_previous_build_have_neither_output_nor_target() {
    let prompts: Vec<WirePrompt> = (0..3).map(usual_prompt).collect();
    let earlier: Vec<EarlierPrompt> = prompts.iter().map(EarlierPrompt::from).collect();
    let decoded: Vec<WirePrompt> = musli::wire::decode(&encoded(&earlier)[..]).expect("it decodes");
    for (decoded, sent) in decoded.iter().zip(&prompts) {
        let expected = WirePrompt {
            output_tokens: 0,
            pause_target_ms: 0,
            whole_tokens: 0,
            ..sent.clone()
        };
        assert_eq!(*decoded, expected);
        assert!(!decoded.is_stream_with_pause_target());
    }
}

/// A prompt as known deployments send it: an id of 16 characters, a birth time in milliseconds of Unix time, two prefixes.
fn usual_prompt(number: usize) -> WirePrompt {
    WirePrompt {
        replica: format!("i-{number:014}"),
        born: Some(1_796_319_000_000),
        tokens: 39_600,
        prefixes: vec![u64::MAX; 2],
        sender: u32::MAX,
        output_tokens: 4096,
        pause_target_ms: 600,
        whole_tokens: 45_900,
    }
}

#[test]
fn a_full_batch_of_usual_prompts_is_below_the_size_limit() {
    let messages = [
        Message::OtherGroupPrompts(OtherGroupPrompts {
            prompts: (0..MAX_PROMPTS).map(usual_prompt).collect(),
            zone: "zone-of-the-sender".to_owned(),
        }),
        Message::Spread(Spread {
            root: u64::MAX,
            rotation: u32::MAX,
            report: Report::Prompts((0..MAX_PROMPTS).map(usual_prompt).collect()),
        }),
    ];
    for message in messages {
        let bytes = message.encode().expect("it encodes");
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        assert_eq!(Message::decode(&bytes), Some(message));
    }
}
