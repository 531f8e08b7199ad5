use super::*;

#[test]
fn pairs_stand_behind_the_words_or_in_the_object_and_no_words_make_two_lines() {
    let pairs = [("peer", log::kv::Value::from("tor-a")), ("sound", log::kv::Value::from(2))];
    let write = |form, words: std::fmt::Arguments| {
        let mut record = Record::builder();
        record.level(log::Level::Info).target("cleatgw").args(words).key_values(&pairs);
        line(form, &record.build())
    };
    let text = write(Form::Text, format_args!("bgp {}", "a\nb"));
    assert_eq!(text, "[INFO  cleatgw] bgp a b peer=tor-a sound=2\n");
    let object: Value = serde_json::from_str(&write(Form::Json, format_args!("bgp"))).unwrap();
    assert_eq!((&object["message"], &object["fields"]["sound"]), (&json!("bgp"), &json!(2)));
}
