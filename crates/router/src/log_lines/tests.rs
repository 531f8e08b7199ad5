use super::*;

#[test]
fn pairs_follow_the_message_or_are_in_the_object_and_line_breaks_in_a_message_make_no_second_line() {
    let pairs = [("peer", log::kv::Value::from("tor-a")), ("sound", log::kv::Value::from(2))];
    let format = |format, message: std::fmt::Arguments| {
        let mut record = Record::builder();
        record.level(log::Level::Info).target("cleatgw").args(message).key_values(&pairs);
        format_line(format, &record.build())
    };
    let text = format(LogFormat::Text, format_args!("bgp {}", "a\nb"));
    assert_eq!(text, "[INFO  cleatgw] bgp a b peer=tor-a sound=2\n");
    let object: Value = serde_json::from_str(&format(LogFormat::Json, format_args!("bgp"))).unwrap();
    assert_eq!((&object["message"], &object["fields"]["sound"]), (&json!("bgp"), &json!(2)));
}
