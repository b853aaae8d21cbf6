from walnutpost.cli.main import main

main(prog_name="walnutpost")
