//! What is cached where: residency per engine incarnation, corrected by events and answers.
